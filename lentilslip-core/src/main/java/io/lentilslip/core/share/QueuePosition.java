package io.lentilslip.core.share;

import java.time.Instant;

/**
 * A place in a sorted line. The number keeps two places with one time apart, the one that
 * came earlier first. Immutable and safe for use by several threads.
 *
 * @param time the time that orders the line
 * @param sequence a number that the queue uses once
 */
record QueuePosition(Instant time, long sequence) implements Comparable<QueuePosition> {

	@Override
	public int compareTo(QueuePosition other) {
		int byTime = this.time.compareTo(other.time);
		return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
	}

}
