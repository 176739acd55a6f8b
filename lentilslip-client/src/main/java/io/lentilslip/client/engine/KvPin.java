package io.lentilslip.client.engine;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The wish that an engine keeps a session's KV cache in memory. Immutable and safe for
 * use by several threads.
 *
 * @param session the session's name, not empty
 * @param lease the time after which the engine ends the pin by itself, if it does
 */
public record KvPin(String session, Optional<Duration> lease) {

	/**
	 * Creates a pin.
	 * @param session the session's name
	 * @param lease the time after which the engine ends the pin by itself
	 * @throws IllegalArgumentException if the name is empty or the lease is under a
	 * millisecond
	 */
	public KvPin {
		Objects.requireNonNull(lease, "lease");
		if (session.isEmpty()) {
			throw new IllegalArgumentException("a session's name is not empty");
		}
		if (lease.filter((time) -> time.toMillis() < 1).isPresent()) {
			throw new IllegalArgumentException("a lease is at least a millisecond");
		}
	}

	/**
	 * Returns a pin that ends by itself.
	 * @param session the session's name
	 * @param lease the time after which the engine ends the pin
	 * @return the pin
	 */
	public static KvPin leased(String session, Duration lease) {
		return new KvPin(session, Optional.of(lease));
	}

}
