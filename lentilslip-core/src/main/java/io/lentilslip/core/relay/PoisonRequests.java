package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Tracks requests on which upstreams failed, by digests of their targets and of their
 * content. A digest that was in flight at several failed incarnations is treated as the
 * cause and not sent again, a target only once it is confirmed, since many requests may
 * share it. The cause explains these failures, so that they no longer count for requests
 * that ran beside it. Bounded separately for each number of failures, so that the many
 * requests of one crash never evict a poison request. Not thread-safe.
 */
final class PoisonRequests {

	/**
	 * The number of failed incarnations after which a request is no longer sent: the
	 * bound in the users' rules.
	 */
	static final int MAX_FAILED_INCARNATIONS = 3;

	/**
	 * The maximum number of requests with the same number of failures, and of explained
	 * failures.
	 */
	static final int MAX_REQUESTS = 4096;

	/**
	 * The failed incarnations by request, least recently failed first, at the index of
	 * their number.
	 */
	private final List<LinkedHashMap<Long, Set<String>>> byFailureCount = Stream
		.generate(LinkedHashMap<Long, Set<String>>::new)
		.limit(MAX_FAILED_INCARNATIONS + 1)
		.toList();

	/**
	 * The incarnations whose failure has a known cause, the earliest first, and whether
	 * that is known for targets as well. A target is the wider cause: it stays suspect
	 * when one of its contents is the cause.
	 */
	private final LinkedHashMap<String, Boolean> explained = new LinkedHashMap<>();

	/**
	 * The targets that are the cause of failures, the earliest first.
	 */
	private final LinkedHashSet<Long> confirmedTargets = new LinkedHashSet<>();

	/**
	 * The failures that did not count after their request was answered, least recently
	 * answered first. They may be read from the log after the answer.
	 */
	private final LinkedHashMap<Long, Set<String>> disproved = new LinkedHashMap<>();

	/**
	 * The failures under each request, least recently failed first.
	 */
	private final LinkedHashMap<String, Set<LedgerEntry.UpstreamFailed>> byRequest = new LinkedHashMap<>();

	/**
	 * Returns the digest of a target, distinguishable from those of contents.
	 * @param hash the hash of the target
	 * @return the digest
	 */
	static long targetDigest(long hash) {
		return hash | 1;
	}

	/**
	 * Returns the digest of a content, distinguishable from those of targets.
	 * @param hash the hash of the content
	 * @return the digest
	 */
	static long contentDigest(long hash) {
		return hash & ~1;
	}

	private static boolean isTarget(long digest) {
		return (digest & 1) != 0;
	}

	/**
	 * Records that an upstream failed while it ran a request, or that this is taken back.
	 * @param failed the failure
	 * @return the number of incarnations that failed, up to the maximum
	 */
	int recordFailure(LedgerEntry.UpstreamFailed failed) {
		if (failed.isTakenBack()) {
			disprove(failed);
			return failures(failed.digest());
		}
		Set<LedgerEntry.UpstreamFailed> failures = Optional.ofNullable(this.byRequest.remove(failed.request()))
			.orElseGet(HashSet::new);
		failures.add(failed);
		this.byRequest.put(failed.request(), failures);
		if (this.byRequest.size() > MAX_REQUESTS) {
			this.byRequest.pollFirstEntry();
		}
		return recordFailure(failed.digest(), failed.upstream());
	}

	/**
	 * Records that some relay has the whole answer to a run of a request, which therefore
	 * did not cause the failures under it. Other runs of the request may have another
	 * content.
	 * @param run the run
	 */
	void recordAnswer(RunId run) {
		Set<LedgerEntry.UpstreamFailed> failures = this.byRequest.getOrDefault(run.request(), new HashSet<>());
		List<LedgerEntry.UpstreamFailed> disproved = failures.stream()
			.filter((failed) -> failed.run().matches(run))
			.toList();
		failures.removeAll(disproved);
		if (failures.isEmpty()) {
			this.byRequest.remove(run.request());
		}
		disproved.forEach(this::disprove);
	}

	private void disprove(LedgerEntry.UpstreamFailed failed) {
		Set<String> remaining = new HashSet<>(remove(failed.digest()));
		remaining.remove(failed.upstream());
		if (!remaining.isEmpty()) {
			put(failed.digest(), remaining);
		}
		if (!isPoison(failed.digest())) {
			this.confirmedTargets.remove(failed.digest());
		}
		addDisproved(failed.digest(), Set.of(failed.upstream()));
	}

	/**
	 * Records that an upstream failed while it ran a request.
	 * @param digest the digest of the request
	 * @param incarnation the incarnation of the upstream
	 * @return the number of incarnations that failed, up to the maximum
	 */
	int recordFailure(long digest, String incarnation) {
		if (isExplained(digest, incarnation) || this.disproved.getOrDefault(digest, Set.of()).contains(incarnation)) {
			return failures(digest);
		}
		if (isPoison(digest)) {
			if (!isTarget(digest) || this.confirmedTargets.contains(digest)) {
				explain(digest, Set.of(incarnation));
			}
			return MAX_FAILED_INCARNATIONS;
		}
		Set<String> failed = new HashSet<>(remove(digest));
		failed.add(incarnation);
		put(digest, failed);
		if (failed.size() == MAX_FAILED_INCARNATIONS && !isTarget(digest)) {
			explain(digest, failed);
		}
		return failed.size();
	}

	/**
	 * Confirms that a target is the cause of the failures under it.
	 * @param target the digest of the target, which reached the maximum of failures
	 */
	void confirm(long target) {
		if (this.confirmedTargets.contains(target)) {
			return;
		}
		this.confirmedTargets.add(target);
		if (this.confirmedTargets.size() > MAX_REQUESTS) {
			this.confirmedTargets.removeFirst();
		}
		explain(target, this.byFailureCount.get(MAX_FAILED_INCARNATIONS).get(target));
	}

	/**
	 * Returns the number of requests and targets with failures.
	 * @return the number
	 */
	int size() {
		return this.byFailureCount.stream().mapToInt(LinkedHashMap::size).sum();
	}

	private boolean isExplained(long digest, String incarnation) {
		return isTarget(digest) ? this.explained.getOrDefault(incarnation, false)
				: this.explained.containsKey(incarnation);
	}

	private void put(long digest, Set<String> failed) {
		LinkedHashMap<Long, Set<String>> requests = this.byFailureCount.get(failed.size());
		requests.put(digest, failed);
		if (requests.size() > MAX_REQUESTS) {
			requests.pollFirstEntry();
		}
	}

	private void explain(long cause, Set<String> incarnations) {
		List<Long> others = new ArrayList<>();
		for (LinkedHashMap<Long, Set<String>> requests : this.byFailureCount) {
			requests.forEach((digest, failed) -> {
				// Requests that failed together each time can't be told apart, nor can
				// targets
				// that have failed often enough by themselves.
				boolean poison = failed.size() == MAX_FAILED_INCARNATIONS;
				boolean separable = !poison || (!isTarget(digest) && !failed.equals(incarnations));
				boolean narrower = isTarget(cause) || !isTarget(digest);
				if (digest != cause && separable && narrower && !Collections.disjoint(failed, incarnations)) {
					others.add(digest);
				}
			});
		}
		others.forEach((digest) -> exonerate(digest, incarnations));
		for (String incarnation : incarnations) {
			this.explained.merge(incarnation, isTarget(cause), Boolean::logicalOr);
			if (this.explained.size() > MAX_REQUESTS) {
				this.explained.pollFirstEntry();
			}
		}
	}

	private void exonerate(long digest, Set<String> incarnations) {
		Set<String> remaining = new HashSet<>(remove(digest));
		remaining.removeAll(incarnations);
		if (!remaining.isEmpty()) {
			put(digest, remaining);
		}
	}

	/**
	 * Records that an upstream has run a request without failing, so that the request did
	 * not cause the earlier failures.
	 * @param digest the digest of the request
	 * @return the incarnations that failed while they ran the request
	 */
	Set<String> recordSuccess(long digest) {
		if (isPoison(digest)) {
			return Set.of();
		}
		Set<String> failed = remove(digest);
		if (!failed.isEmpty()) {
			addDisproved(digest, failed);
		}
		return failed;
	}

	private void addDisproved(long digest, Set<String> failed) {
		Set<String> all = new HashSet<>(failed);
		all.addAll(this.disproved.getOrDefault(digest, Set.of()));
		this.disproved.putLast(digest, all);
		if (this.disproved.size() > MAX_REQUESTS) {
			this.disproved.pollFirstEntry();
		}
	}

	/**
	 * Makes a target that is the cause of failures a suspect again. One more failure
	 * confirms it, so that it can be tried without three more.
	 * @param target the digest of the target
	 */
	void suspectAgain(long target) {
		put(target, remove(target).stream().sorted().skip(1).collect(Collectors.toSet()));
		this.confirmedTargets.remove(target);
	}

	private Set<String> remove(long digest) {
		for (LinkedHashMap<Long, Set<String>> requests : this.byFailureCount) {
			Set<String> removed = requests.remove(digest);
			if (removed != null) {
				return removed;
			}
		}
		return Set.of();
	}

	/**
	 * Returns how many incarnations failed while they ran a request.
	 * @param digest the digest of the request
	 * @return the number, up to the maximum
	 */
	int failures(long digest) {
		for (int count = MAX_FAILED_INCARNATIONS; count > 0; count--) {
			if (this.byFailureCount.get(count).containsKey(digest)) {
				return count;
			}
		}
		return 0;
	}

	boolean isPoison(long digest) {
		return this.byFailureCount.get(MAX_FAILED_INCARNATIONS).containsKey(digest);
	}

}
