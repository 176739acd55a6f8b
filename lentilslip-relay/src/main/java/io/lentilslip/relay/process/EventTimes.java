package io.lentilslip.relay.process;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.lentilslip.core.measurement.Measurement;

/**
 * Counts the events of a relay and the time that each kind of them took, including the
 * effects. Times include pauses of the process. The number of kinds is that of the event
 * types. Used by the event loop's thread.
 */
final class EventTimes {

	private final Map<Class<?>, Total> totals = new HashMap<>();

	private Class<?> longestKind;

	private long longestNanos;

	/**
	 * Records that an event was handled.
	 * @param kind the type of the event
	 * @param nanos how long it took
	 */
	void record(Class<?> kind, long nanos) {
		Total total = this.totals.computeIfAbsent(kind, (added) -> new Total());
		total.count++;
		total.nanos += nanos;
		if (nanos > this.longestNanos) {
			this.longestNanos = nanos;
			this.longestKind = kind;
		}
	}

	/**
	 * Returns the event that took the longest since the last call.
	 * @return the event, or empty if there was none
	 */
	Optional<Longest> takeLongest() {
		Optional<Longest> longest = Optional.ofNullable(this.longestKind)
			.map((kind) -> new Longest(kind.getSimpleName(), Duration.ofNanos(this.longestNanos)));
		this.longestKind = null;
		this.longestNanos = 0;
		return longest;
	}

	/**
	 * Publishes what was recorded since the last call.
	 * @param measurements receives a measurement for each kind of event
	 */
	void publish(Consumer<Measurement> measurements) {
		this.totals.forEach((kind, total) -> {
			if (total.count > 0) {
				measurements.accept(new Measurement.EventsHandled(kind.getSimpleName(), total.count,
						Duration.ofNanos(total.nanos)));
				total.count = 0;
				total.nanos = 0;
			}
		});
	}

	/**
	 * The longest event of a period. Immutable.
	 *
	 * @param kind the name of its type
	 * @param time how long it took
	 */
	record Longest(String kind, Duration time) {

	}

	/**
	 * The events of one kind that have not been published. Used by one thread.
	 */
	private static final class Total {

		private long count;

		private long nanos;

	}

}
