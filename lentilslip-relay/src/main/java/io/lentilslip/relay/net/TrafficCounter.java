package io.lentilslip.relay.net;

import java.util.function.Consumer;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.RelayTraffic.Kind;

/**
 * Adds up what a relay sends and takes until it is published. Used by the event loop's
 * thread.
 */
public final class TrafficCounter {

	private static final Kind[] KINDS = Kind.values();

	private final long[] bytes = new long[KINDS.length];

	private final long[] messages = new long[KINDS.length];

	/**
	 * Counts one message or record.
	 * @param kind which way it went
	 * @param size its bytes
	 */
	public void add(Kind kind, long size) {
		this.bytes[kind.ordinal()] += size;
		this.messages[kind.ordinal()]++;
	}

	/**
	 * Tells what was added since the last call, of each kind.
	 * @param measurements takes measurements
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
