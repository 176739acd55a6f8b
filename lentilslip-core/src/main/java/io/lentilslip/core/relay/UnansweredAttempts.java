package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Attempts that were abandoned without a response, by the incarnation of their upstream.
 * An upstream that ends without closing its connections looks like a slow one. If its
 * incarnation then disappears, such an attempt may have been the cause, unless the
 * upstream has responded since. Bounded: the oldest incarnations are evicted first. Not
 * thread-safe.
 */
final class UnansweredAttempts {

	/**
	 * The maximum number of incarnations, more than the upstreams of a large site.
	 */
	private static final int MAX_INCARNATIONS = 4096;

	/**
	 * The maximum number of attempts for each incarnation, several times what one runs
	 * concurrently.
	 */
	private static final int MAX_ATTEMPTS = 256;

	private final Map<String, List<LedgerEntry.UpstreamFailed>> byIncarnation = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, List<LedgerEntry.UpstreamFailed>> eldest) {
			return size() > MAX_INCARNATIONS;
		}
	};

	/**
	 * Adds an abandoned attempt.
	 * @param failure the failure to record if the incarnation ends
	 */
	void add(LedgerEntry.UpstreamFailed failure) {
		List<LedgerEntry.UpstreamFailed> attempts = this.byIncarnation.computeIfAbsent(failure.upstream(),
				(incarnation) -> new ArrayList<>());
		if (attempts.size() < MAX_ATTEMPTS) {
			attempts.add(failure);
		}
	}

	/**
	 * Records that an upstream has responded, so that it has survived the earlier
	 * attempts.
	 * @param incarnation its incarnation
	 */
	void responded(String incarnation) {
		this.byIncarnation.remove(incarnation);
	}

	/**
	 * Removes and returns the attempts that may have ended an upstream.
	 * @param incarnation its incarnation
	 * @return the failures to record
	 */
	List<LedgerEntry.UpstreamFailed> incarnationEnded(String incarnation) {
		List<LedgerEntry.UpstreamFailed> removed = this.byIncarnation.remove(incarnation);
		return (removed != null) ? removed : List.of();
	}

}
