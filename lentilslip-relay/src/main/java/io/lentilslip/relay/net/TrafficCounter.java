package io.lentilslip.relay.net;

import java.util.function.Consumer;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.RelayTraffic.Kind;

/**
 * Counts the bytes and messages that a relay sends and receives. Used by the event loop's
 * thread.
 */
public final class TrafficCounter {

	private static final Kind[] KINDS = Kind.values();

	private final long[] bytes = new long[KINDS.length];

	private final long[] messages = new long[KINDS.length];

	/**
	 * Counts one message or record.
	 * @param kind the kind of traffic
	 * @param size its size, in bytes
	 */
	public void add(Kind kind, long size) {
		this.bytes[kind.ordinal()] += size;
		this.messages[kind.ordinal()]++;
	}

	/**
	 * Publishes the counts of each kind and resets them.
	 * @param measurements receives the measurements
	 */
	public void publish(Consumer<Measurement> measurements) {
		for (Kind kind : KINDS) {
			int index = kind.ordinal();
			measurements.accept(new Measurement.RelayTraffic(kind, this.bytes[index], this.messages[index]));
			this.bytes[index] = 0;
			this.messages[index] = 0;
		}
	}

}
