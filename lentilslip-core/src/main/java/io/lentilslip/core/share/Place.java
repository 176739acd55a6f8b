package io.lentilslip.core.share;

import java.time.Instant;

/**
 * A place in a sorted line. The number keeps two places with one time apart, the one that
 * came earlier first. Immutable and safe for use by several threads.
 *
 * @param time the time that orders the line
 * @param number a number that the queue uses once
 */
record Place(Instant time, long number) implements Comparable<Place> {

	@Override
	public int compareTo(Place other) {
		int byTime = this.time.compareTo(other.time);
		return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
	}

}
