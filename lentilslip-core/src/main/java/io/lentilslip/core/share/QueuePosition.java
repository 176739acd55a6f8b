package io.lentilslip.core.share;

import java.time.Instant;

/**
 * Immutable position in a sorted queue. The sequence number breaks ties between equal
 * times in the order of insertion. Thread-safe.
 *
 * @param time the time by which the queue is sorted
 * @param sequence a number that is unique within the queue
 */
record QueuePosition(Instant time, long sequence) implements Comparable<QueuePosition> {

	@Override
	public int compareTo(QueuePosition other) {
		int byTime = this.time.compareTo(other.time);
		return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
	}

}
