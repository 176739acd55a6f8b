package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

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

	/**
	 * The incarnations at which each digest is suspected.
	 */
	private final Map<Long, Set<String>> incarnationsByDigest = new HashMap<>();

	private int attemptCount;

	/**
	 * Adds an attempt.
	 * @param failure the failure to record if the incarnation ends
	 * @param suspicion when and why the attempt is suspected
	 */
	void add(LedgerEntry.UpstreamFailed failure, Suspicion suspicion) {
		put(failure.upstream(), List.of(new Suspect(failure, suspicion)));
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
		put(incarnation, remaining);
	}

	/**
	 * Records that a request was answered, so that its earlier attempts did not end their
	 * upstreams.
	 * @param digest the digest of the request
	 */
	void answered(long digest) {
		for (String incarnation : Set.copyOf(this.incarnationsByDigest.getOrDefault(digest, Set.of()))) {
			put(incarnation,
					remove(incarnation).stream().filter((suspect) -> suspect.failure().digest() != digest).toList());
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

	private void put(String incarnation, List<Suspect> suspects) {
		for (Suspect suspect : suspects) {
			this.byIncarnation.computeIfAbsent(incarnation, (key) -> new ArrayList<>()).add(suspect);
			this.incarnationsByDigest.computeIfAbsent(suspect.failure().digest(), (key) -> new HashSet<>())
				.add(incarnation);
		}
		this.attemptCount += suspects.size();
	}

	private List<Suspect> remove(String incarnation) {
		List<Suspect> removed = this.byIncarnation.remove(incarnation);
		if (removed == null) {
			return List.of();
		}
		this.attemptCount -= removed.size();
		removed.forEach((suspect) -> this.incarnationsByDigest.computeIfPresent(suspect.failure().digest(), (digest,
				incarnations) -> (incarnations.remove(incarnation) && incarnations.isEmpty()) ? null : incarnations));
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
