package io.lentilslip.wire.relay;

import java.time.Duration;

/**
 * When an entry of the log was written. Immutable and safe for use by several threads.
 *
 * @param writtenAt when its relay wrote it, in milliseconds of that relay's clock of the
 * day
 * @param appendDelay how long it waited then until it was appended; zero if it went out
 * soon
 */
public record EntryTimestamp(long writtenAt, Duration appendDelay) {

	/**
	 * Returns when the entry was appended.
	 * @return milliseconds of its writer's clock of the day
	 */
	public long appendedAt() {
		return this.writtenAt + this.appendDelay.toMillis();
	}

}
