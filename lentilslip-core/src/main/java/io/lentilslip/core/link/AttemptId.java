package io.lentilslip.core.link;

import io.lentilslip.core.identity.Incarnation;

/**
 * Immutable identifier of an attempt of an entry to run a call. It includes the entry's
 * incarnation, so that a response to an attempt of an earlier incarnation is never
 * matched to a call of the current one. Thread-safe.
 *
 * @param entry the incarnation of the entry that makes the attempt
 * @param number a number that is unique within the incarnation
 */
public record AttemptId(Incarnation entry, long number) implements Comparable<AttemptId> {

	@Override
	public int compareTo(AttemptId other) {
		int byEntry = Long.compare(this.entry.value(), other.entry.value());
		return (byEntry != 0) ? byEntry : Long.compare(this.number, other.number);
	}

	@Override
	public String toString() {
		return this.entry + "-" + this.number;
	}

}
