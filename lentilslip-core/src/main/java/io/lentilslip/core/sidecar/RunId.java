package io.lentilslip.core.sidecar;

/**
 * The number by which a sidecar knows one request to its upstream. Immutable and safe for
 * use by several threads.
 *
 * @param value a number that this life of the sidecar uses once
 */
public record RunId(long value) implements Comparable<RunId> {

	@Override
	public int compareTo(RunId other) {
		return Long.compare(this.value, other.value);
	}

}
