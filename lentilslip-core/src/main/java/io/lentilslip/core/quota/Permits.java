package io.lentilslip.core.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Unused permits of one team at one relay, and the team's programs that are known to be
 * admitted. Permits expire, because a permit that is used late counts in a later window
 * than the one it was granted in. Not thread-safe.
 */
public final class Permits {

	/**
	 * The time for which a granted permit is valid.
	 */
	static final Duration EXPIRY = Duration.ofMillis(1000);

	/**
	 * The number of permits to prefetch if the team recently sent requests to this relay.
	 */
	private static final int PREFETCH = 2;

	/**
	 * The time for which a request of a team counts as recent.
	 */
	private static final long RECENT_USE_MS = 1000;

	/**
	 * The time after which an expired permit is not refunded. A refund counts in a later
	 * window than the grant, as a permit that is used late does.
	 */
	private static final long REFUND_TIMEOUT_MS = 250;

	private static final int MAX_PROGRAMS = 512;

	private final Deque<Long> expiries = new ArrayDeque<>();

	private final Map<Integer, Boolean> admittedPrograms = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
			return size() > MAX_PROGRAMS;
		}
	};

	private long lastUsedAt = Long.MIN_VALUE / 2;

	private String grantor = "";

	private int expiredUnused;

	private long lastExpiredAt = Long.MIN_VALUE / 2;

	/**
	 * Adds permits.
	 * @param from the relay that granted the permits
	 * @param permits the number of permits
	 * @param now milliseconds of a monotonic clock
	 */
	public void add(String from, int permits, long now) {
		if (!from.equals(this.grantor)) {
			this.expiredUnused = 0;
			this.grantor = from;
		}
		for (int i = 0; i < permits; i++) {
			this.expiries.addLast(now + EXPIRY.toMillis());
		}
	}

	/**
	 * Acquires a permit if one is available.
	 * @param now milliseconds of a monotonic clock
	 * @return whether a permit was acquired
	 */
	public boolean tryAcquire(long now) {
		expire(now);
		return this.expiries.pollFirst() != null;
	}

	private void expire(long now) {
		while (!this.expiries.isEmpty() && this.expiries.peekFirst() <= now) {
			this.lastExpiredAt = this.expiries.pollFirst();
			this.expiredUnused += (now - this.lastExpiredAt < REFUND_TIMEOUT_MS) ? 1 : 0;
		}
	}

	/**
	 * Releases a permit whose request was not sent.
	 * @param now milliseconds of a monotonic clock
	 */
	public void release(long now) {
		this.expiries.addLast(now + EXPIRY.toMillis());
	}

	/**
	 * Returns the number of permits of a relay that expired unused shortly before this
	 * call, and resets the count.
	 * @param from the relay
	 * @param now milliseconds of a monotonic clock
	 * @return the number; zero if another relay granted the permits
	 */
	public int takeExpired(String from, long now) {
		expire(now);
		boolean recent = now - this.lastExpiredAt < REFUND_TIMEOUT_MS;
		int expired = (recent && from.equals(this.grantor)) ? this.expiredUnused : 0;
		this.expiredUnused = 0;
		return expired;
	}

	/**
	 * Returns the number of permits to prefetch, and records that the team sent a
	 * request.
	 * @param now milliseconds of a monotonic clock
	 * @return the number
	 */
	public int prefetch(long now) {
		boolean recentlyUsed = now - this.lastUsedAt < RECENT_USE_MS;
		this.lastUsedAt = now;
		return recentlyUsed ? PREFETCH : 0;
	}

	/**
	 * Returns whether a program is known to be admitted.
	 * @param program the digest of the program
	 * @return whether the program is admitted
	 */
	public boolean isAdmitted(int program) {
		return this.admittedPrograms.get(program) != null;
	}

	/**
	 * Records that a program is admitted.
	 * @param program the digest of the program
	 */
	public void markAdmitted(int program) {
		this.admittedPrograms.put(program, true);
	}

	/**
	 * Discards all permits, which may have expired while the process was paused.
	 */
	public void clear() {
		this.expiries.clear();
		this.expiredUnused = 0;
	}

}
