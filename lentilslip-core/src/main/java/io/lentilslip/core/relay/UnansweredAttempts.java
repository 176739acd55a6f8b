package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * Attempts that were abandoned without a response, by the incarnation of their upstream.
 * An upstream that ends without closing its connections looks like a slow one. If its
 * incarnation then disappears, such an attempt may have been the cause, unless the
 * upstream has responded since. Bounded: the oldest incarnations are evicted first. Not
 * thread-safe.
 */
final class UnansweredAttempts {

	/**
	 * The maximum number of attempts, several times what all upstreams of a large site
	 * run for one relay.
	 */
	private static final int MAX_ATTEMPTS = 8192;

	private final LinkedHashMap<String, List<LedgerEntry.UpstreamFailed>> byIncarnation = new LinkedHashMap<>();

	private int attemptCount;

	/**
	 * Adds an abandoned attempt.
	 * @param failure the failure to record if the incarnation ends
	 */
	void add(LedgerEntry.UpstreamFailed failure) {
		this.byIncarnation.computeIfAbsent(failure.upstream(), (incarnation) -> new ArrayList<>()).add(failure);
		this.attemptCount++;
		while (this.attemptCount > MAX_ATTEMPTS) {
			incarnationEnded(this.byIncarnation.firstEntry().getKey());
		}
	}

	/**
	 * Records that an upstream has responded, so that it has survived the earlier
	 * attempts.
	 * @param incarnation its incarnation
	 */
	void responded(String incarnation) {
		incarnationEnded(incarnation);
	}

	/**
	 * Removes and returns the attempts that may have ended an upstream.
	 * @param incarnation its incarnation
	 * @return the failures to record
	 */
	List<LedgerEntry.UpstreamFailed> incarnationEnded(String incarnation) {
		List<LedgerEntry.UpstreamFailed> removed = this.byIncarnation.remove(incarnation);
		if (removed == null) {
			return List.of();
		}
		this.attemptCount -= removed.size();
		return removed;
	}

}
