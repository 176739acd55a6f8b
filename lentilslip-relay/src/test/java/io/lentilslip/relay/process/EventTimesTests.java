package io.lentilslip.relay.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.relay.RelayEvent;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventTimesTests {

	private final EventTimes times = new EventTimes();

	@Test
	void eventsArePublishedOnceByKind() {
		this.times.record(RelayEvent.TimerFired.class, 5);
		this.times.record(RelayEvent.CaughtUp.class, 7);
		this.times.record(RelayEvent.TimerFired.class, 6);
		assertThat(published()).containsExactlyInAnyOrder(
				new Measurement.EventsHandled("TimerFired", 2, Duration.ofNanos(11)),
				new Measurement.EventsHandled("CaughtUp", 1, Duration.ofNanos(7)));
		assertThat(published()).isEmpty();
	}

	@Test
	void longestEventIsTakenOnce() {
		this.times.record(RelayEvent.TimerFired.class, 5);
		this.times.record(RelayEvent.CaughtUp.class, 7);
		this.times.record(RelayEvent.TimerFired.class, 6);
		assertThat(this.times.takeLongest()).contains(new EventTimes.Longest("CaughtUp", Duration.ofNanos(7)));
		assertThat(this.times.takeLongest()).isEmpty();
	}

	private List<Measurement> published() {
		List<Measurement> published = new ArrayList<>();
		this.times.publish(published::add);
		return published;
	}

}
