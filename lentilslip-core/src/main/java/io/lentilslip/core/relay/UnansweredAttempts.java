package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * Attempts that ended without a response, by the incarnation of their upstream. If the
 * incarnation then ends, such an attempt may have been the cause, unless the upstream has
 * responded since. Bounded: the oldest incarnations are evicted first. Not thread-safe.
 */
final class UnansweredAttempts {

	/**
	 * The maximum number of attempts, several times what all upstreams of a large site
	 * run for one relay.
	 */
	private static final int MAX_ATTEMPTS = 8192;

	private final LinkedHashMap<String, List<Suspect>> byIncarnation = new LinkedHashMap<>();

	private int attemptCount;

	/**
	 * Adds an attempt.
	 * @param failure the failure to record if the incarnation ends
	 * @param suspicion when and why the attempt is suspected
	 */
	void add(LedgerEntry.UpstreamFailed failure, Suspicion suspicion) {
		this.byIncarnation.computeIfAbsent(failure.upstream(), (incarnation) -> new ArrayList<>())
			.add(new Suspect(failure, suspicion));
		this.attemptCount++;
		while (this.attemptCount > MAX_ATTEMPTS) {
			remove(this.byIncarnation.firstEntry().getKey());
		}
	}

	/**
	 * Returns whether an attempt at an incarnation is suspected.
	 * @param incarnation the incarnation
	 * @return whether one is
	 */
	boolean contains(String incarnation) {
		return this.byIncarnation.containsKey(incarnation);
	}

	/**
	 * Records that an upstream has responded, so that it has survived the earlier
	 * attempts. Bytes that it sent before it ended may arrive after a connection broke,
	 * so after a break only the response to a later request shows that.
	 * @param incarnation its incarnation
	 * @param sentAt when the request was sent that it has responded to
	 */
	void responded(String incarnation, long sentAt) {
		List<Suspect> remaining = remove(incarnation).stream()
			.filter((suspect) -> suspect.suspicion().broken() && suspect.suspicion().since() >= sentAt)
			.toList();
		if (!remaining.isEmpty()) {
			this.byIncarnation.put(incarnation, new ArrayList<>(remaining));
			this.attemptCount += remaining.size();
		}
	}

	/**
	 * Removes and returns the attempts that may have ended an upstream.
	 * @param incarnation its incarnation
	 * @param now the current time
	 * @return the failures to record
	 */
	List<LedgerEntry.UpstreamFailed> incarnationEnded(String incarnation, long now) {
		return remove(incarnation).stream()
			.filter((suspect) -> now <= suspect.suspicion().until())
			.map(Suspect::failure)
			.toList();
	}

	private List<Suspect> remove(String incarnation) {
		List<Suspect> removed = this.byIncarnation.remove(incarnation);
		if (removed == null) {
			return List.of();
		}
		this.attemptCount -= removed.size();
		return removed;
	}

	/**
	 * When and why an attempt is suspected. Immutable.
	 *
	 * @param since when it ended
	 * @param until until when the end of the incarnation counts
	 * @param broken whether its connection broke
	 */
	record Suspicion(long since, long until, boolean broken) {

	}

	/**
	 * A suspected attempt. Immutable.
	 *
	 * @param failure the failure to record if the incarnation ends
	 * @param suspicion when and why it is suspected
	 */
	private record Suspect(LedgerEntry.UpstreamFailed failure, Suspicion suspicion) {

	}

}
