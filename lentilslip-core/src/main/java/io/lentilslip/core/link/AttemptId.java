package io.lentilslip.core.link;

import io.lentilslip.core.identity.Incarnation;

/**
 * One attempt of an entry to have a call run. The entry's incarnation is part of it, so
 * that an answer for an attempt of an earlier life never meets a call of this one.
 * Immutable and safe for use by several threads.
 *
 * @param entry the life of the entry that makes the attempt
 * @param number a number that this life of the entry uses once
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
