package io.lentilslip.wire.relay;

import java.time.Duration;

/**
 * When an entry of the log was written. Immutable and safe for use by several threads.
 *
 * @param writtenAt when the entry was written, in milliseconds of the writer's wall clock
 * @param appendDelay how long the entry was queued before it was appended; zero if not
 * recorded
 */
public record EntryTimestamp(long writtenAt, Duration appendDelay) {

	/**
	 * Returns when the entry was appended.
	 * @return milliseconds of the writer's wall clock
	 */
	public long appendedAt() {
		return this.writtenAt + this.appendDelay.toMillis();
	}

}
