package io.lentilslip.client.engine;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What an engine holds in memory. Immutable and safe for use by several threads.
 *
 * @param sessions the pinned sessions
 * @param usedTokens the tokens held by running requests and pinned sessions
 * @param cachedTokens the tokens cached beside them, which may be evicted
 * @param totalTokens the tokens of memory
 */
public record HeldMemory(List<HeldSession> sessions, long usedTokens, long cachedTokens, long totalTokens) {

	/**
	 * Creates a state of memory.
	 * @param sessions the pinned sessions, copied
	 * @param usedTokens the tokens held by running requests and pinned sessions
	 * @param cachedTokens the tokens cached beside them
	 * @param totalTokens the tokens of memory
	 */
	public HeldMemory {
		sessions = List.copyOf(sessions);
	}

	/**
	 * A pinned session.
	 *
	 * @param session the session's name
	 * @param tokens its tokens
	 * @param leaseLeft the time until the pin ends by itself, if it does
	 */
	public record HeldSession(String session, long tokens, Optional<Duration> leaseLeft) {

	}

}
