package io.lentilslip.runtime.loop;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.reducer.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(30)
class ReducerLoopTests {

	private final BlockingQueue<String> effects = new LinkedBlockingQueue<>();

	private final CompletableFuture<Throwable> failure = new CompletableFuture<>();

	@Test
	void effectsRunInTheOrderOfEventsAndBeforeTheNextEvent() throws InterruptedException {
		try (ReducerLoop<Integer, String, String> loop = loop(100)) {
			loop.start(this.effects::add);
			loop.post("a");
			assertThat(loop.offer("b")).isEqualTo(Admission.ADMITTED);
			loop.postWhenRoom("c");
			assertThat(next(6)).containsExactly("a1", "a2", "b1", "b2", "c1", "c2");
		}
	}

	@Test
	void stateIsPublishedAfterTheEffectsOfItsEvent() throws Exception {
		CompletableFuture<Integer> seen = new CompletableFuture<>();
		try (ReducerLoop<Integer, String, String> loop = loop(100)) {
			loop.start((effect) -> {
				if (effect.equals("b1")) {
					seen.complete(loop.state());
				}
			});
			loop.post("a");
			loop.post("b");
			assertThat(seen.get()).isEqualTo(1);
		}
	}

	// A burst of calls meets a full mailbox: each further call is refused, so its caller
	// is told at once that it did not run. The end of a run still gets in; were it
	// dropped, the call that waits for it would hang.
	@Test
	void fullMailboxRefusesOffersButTakesPosts() throws InterruptedException {
		try (ReducerLoop<Integer, String, String> loop = loop(2)) {
			assertThat(loop.offer("a")).isEqualTo(Admission.ADMITTED);
			assertThat(loop.offer("b")).isEqualTo(Admission.ADMITTED);
			assertThat(loop.offer("c")).isEqualTo(Admission.FULL);
			loop.post("end");
			assertThat(loop.waiting()).isEqualTo(3);
			loop.start(this.effects::add);
			assertThat(next(6)).containsExactly("a1", "a2", "b1", "b2", "end1", "end2");
		}
	}

	@Test
	void readerOfStreamWaitsForRoom() throws Exception {
		CountDownLatch waiting = new CountDownLatch(1);
		try (ReducerLoop<Integer, String, String> loop = loop(1)) {
			loop.post("a");
			Thread reader = Thread.ofVirtual().start(() -> {
				waiting.countDown();
				try {
					loop.postWhenRoom("b");
				}
				catch (InterruptedException ex) {
					this.failure.complete(ex);
				}
			});
			waiting.await();
			loop.start(this.effects::add);
			reader.join();
			assertThat(next(4)).containsExactly("a1", "a2", "b1", "b2");
		}
	}

	// The reducer throws on an event. The process must not go on with a state that missed
	// it: a call might run twice. The failure is handed on once, no later event is
	// handled, and whoever offers one is told.
	@Test
	void failureOfReducerEndsTheLoop() throws Exception {
		try (ReducerLoop<Integer, String, String> loop = loop(100)) {
			loop.post("fail");
			loop.post("a");
			loop.start(this.effects::add);
			assertThat(this.failure.get()).hasMessage("cannot reduce");
			assertThat(loop.offer("b")).isEqualTo(Admission.CLOSED);
			assertThat(this.effects).isEmpty();
			assertThat(loop.state()).isZero();
		}
	}

	@Test
	void failureOfEffectEndsTheLoop() throws Exception {
		try (ReducerLoop<Integer, String, String> loop = loop(100)) {
			loop.start((effect) -> {
				throw new IllegalStateException("cannot run " + effect);
			});
			loop.post("a");
			assertThat(this.failure.get()).hasMessage("cannot run a1");
			assertThat(loop.offer("b")).isEqualTo(Admission.CLOSED);
		}
	}

	@Test
	void closedLoopFreesThoseWhoWaitForRoom() throws Exception {
		ReducerLoop<Integer, String, String> loop = loop(1);
		loop.post("a");
		Thread reader = Thread.ofVirtual().start(() -> {
			try {
				loop.postWhenRoom("b");
			}
			catch (InterruptedException ex) {
				this.failure.complete(ex);
			}
		});
		loop.close();
		reader.join();
		assertThat(loop.waiting()).isZero();
		assertThat(this.failure).isNotDone();
	}

	@Test
	void failureIsReportedByNumber() {
		assertThat(Termination.ForProcess.report(new IllegalStateException("no"))).satisfies((notice) -> {
			assertThat(notice.code()).isEqualTo(NoticeCode.PROCESS_FAILED);
			assertThat(notice.fields().getFirst().value()).startsWith("java.lang.IllegalStateException: no at ");
		});
	}

	private ReducerLoop<Integer, String, String> loop(int bound) {
		return new ReducerLoop<>("loop-test", ReducerLoopTests::reduce, 0, bound, this.failure::complete);
	}

	private static Step<Integer, String> reduce(Integer state, String event) {
		if (event.equals("fail")) {
			throw new IllegalStateException("cannot reduce");
		}
		return new Step<>(state + 1, List.of(event + "1", event + "2"));
	}

	private List<String> next(int count) throws InterruptedException {
		List<String> taken = new ArrayList<>();
		while (taken.size() < count) {
			String effect = this.effects.poll(20, TimeUnit.SECONDS);
			assertThat(effect).isNotNull();
			taken.add(effect);
		}
		return taken;
	}

}
