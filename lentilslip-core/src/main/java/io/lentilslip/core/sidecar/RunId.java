package io.lentilslip.core.sidecar;

/**
 * Immutable identifier of one request to the upstream. Safe for use by several threads.
 *
 * @param value a number that is unique within an incarnation of the sidecar
 */
public record RunId(long value) implements Comparable<RunId> {

	@Override
	public int compareTo(RunId other) {
		return Long.compare(this.value, other.value);
	}

}
