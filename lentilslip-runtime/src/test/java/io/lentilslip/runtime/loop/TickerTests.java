package io.lentilslip.runtime.loop;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;

import io.lentilslip.core.reducer.Step;
import io.lentilslip.core.role.NodeEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(30)
class TickerTests {

	@Test
	void ticksCarryTheTimeAndASeed() throws InterruptedException {
		BlockingQueue<NodeEvent> seen = new LinkedBlockingQueue<>();
		try (ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
				ReducerLoop<Integer, NodeEvent, NodeEvent> loop = new ReducerLoop<>("loop-test",
						(state, event) -> new Step<>(state, List.of(event)), 0, 1, (cause) -> {
						})) {
			loop.start(seen::add);
			try (Ticker ticker = Ticker.start(loop, Function.identity(), Duration.ofMillis(1), () -> Instant.EPOCH,
					() -> 7, scheduler)) {
				assertThat(seen.take()).isEqualTo(new NodeEvent.Ticked(Instant.EPOCH, 7));
				assertThat(seen.take()).isEqualTo(new NodeEvent.Ticked(Instant.EPOCH, 7));
			}
		}
	}

}
