package io.lentilslip.core.quota;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Queue;

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

	/**
	 * The time after the request for a permit in which it can be reused if its request
	 * was not sent.
	 */
	private static final long REUSE_TIMEOUT_MS = 250;

	private static final int MAX_PROGRAMS = 512;

	private final Queue<Permit> permits = new PriorityQueue<>(Comparator.comparingLong(Permit::expiresAt));

	private final Map<Integer, Boolean> admittedPrograms = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
			return size() > MAX_PROGRAMS;
		}
	};

	private long lastUsedAt = Long.MIN_VALUE / 2;

	private String grantor = "";

	/**
	 * The expiries of refundable permits. Each counts by its own age.
	 */
	private final Queue<Long> refundable = new PriorityQueue<>();

	/**
	 * Adds permits. They are as old as the request for them, because the time of the
	 * grant is unknown.
	 * @param from the relay that granted the permits
	 * @param permits the number of permits
	 * @param requestedAt the time at which they were requested, in milliseconds of a
	 * monotonic clock
	 */
	public void add(String from, int permits, long requestedAt) {
		if (!from.equals(this.grantor)) {
			this.refundable.clear();
			this.grantor = from;
		}
		for (int i = 0; i < permits; i++) {
			this.permits.add(new Permit(expiry(requestedAt), Optional.of(from)));
		}
	}

	/**
	 * Acquires a permit if one is available.
	 * @param now milliseconds of a monotonic clock
	 * @return the time at which the permit expires; empty if none was acquired
	 */
	public OptionalLong acquire(long now) {
		expire(now);
		Permit next = this.permits.poll();
		return (next != null) ? OptionalLong.of(next.expiresAt()) : OptionalLong.empty();
	}

	/**
	 * Returns the expiry of permits.
	 * @param requestedAt the time at which they were requested, in milliseconds of a
	 * monotonic clock
	 * @return the time at which they expire
	 */
	public static long expiry(long requestedAt) {
		return requestedAt + EXPIRY.toMillis();
	}

	private void expire(long now) {
		while (!this.permits.isEmpty() && this.permits.peek().expiresAt() <= now) {
			Permit expired = this.permits.poll();
			if (expired.grantor().filter(this.grantor::equals).isPresent()) {
				this.refundable.add(expired.expiresAt());
			}
		}
		while (!this.refundable.isEmpty() && now - this.refundable.peek() >= REFUND_TIMEOUT_MS) {
			this.refundable.poll();
		}
	}

	/**
	 * Releases a permit whose request was not sent. It can be reused for a short time
	 * only, because nothing bounds the number of such permits.
	 * @param expiresAt the time at which it would have expired, in milliseconds of a
	 * monotonic clock
	 * @param now milliseconds of a monotonic clock
	 */
	public void release(long expiresAt, long now) {
		long reusableUntil = expiresAt - EXPIRY.toMillis() + REUSE_TIMEOUT_MS;
		if (reusableUntil > now) {
			this.permits.add(new Permit(reusableUntil, Optional.empty()));
		}
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
		int expired = from.equals(this.grantor) ? this.refundable.size() : 0;
		this.refundable.clear();
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
		this.permits.clear();
		this.refundable.clear();
	}

	/**
	 * An unused permit. Immutable.
	 *
	 * @param expiresAt the time at which it expires, in milliseconds of a monotonic clock
	 * @param grantor the relay that granted it; empty if it was released, since its
	 * grantor is not known any more
	 */
	private record Permit(long expiresAt, Optional<String> grantor) {

	}

}
