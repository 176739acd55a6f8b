package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import io.lentilslip.core.relay.Upstreams.UpstreamState;

/**
 * Selects the upstream with the lowest expected latency, based on the uncached part of
 * the prompt, the load, and the availability zone. Immutable, and as thread-safe as its
 * random generator.
 *
 * @param zone the availability zone of this relay
 * @param random breaks ties, so that relays with the same view select different upstreams
 */
record UpstreamSelector(String zone, RandomGenerator random) {

	/**
	 * The prefill throughput of an engine in prompt tokens per millisecond, in the order
	 * of the users' engines.
	 */
	private static final double PREFILL_TOKENS_PER_MS = 147;

	/**
	 * The milliseconds by which one additional request slows down an engine: each of
	 * about 250 decoding steps takes about 0.04 ms longer, for the request and for a
	 * concurrent one.
	 */
	private static final double COST_PER_RUNNING_REQUEST_MS = 15;

	/**
	 * The milliseconds that a request waits at a plain service with all slots in use;
	 * proportional to the fraction of slots in use.
	 */
	private static final double COST_OF_FULL_SERVICE_MS = 100;

	/**
	 * The milliseconds by which the affinity target is preferred. At most the cost of one
	 * request at a service of up to ten slots, so that affinity does not cause queueing
	 * there.
	 */
	private static final double AFFINITY_BONUS_MS = 10;

	/**
	 * The additional round-trip time to another availability zone in milliseconds.
	 */
	private static final double CROSS_ZONE_COST_MS = 3;

	/**
	 * A penalty that exceeds the sum of all other costs, so that an ejected upstream is
	 * used only if all are ejected.
	 */
	private static final double EJECTED_COST_MS = 1_000_000;

	/**
	 * The number of ranked candidates that are kept for the event log.
	 */
	private static final int MAX_RANKED = 3;

	/**
	 * The number of upstreams sampled for one request (power of d choices). Load reports
	 * are delayed, so relays that always selected the global minimum would all select the
	 * same upstream until the next report.
	 */
	private static final int SAMPLE_SIZE = 5;

	/**
	 * Ranks upstreams by cost.
	 * @param candidates the upstreams
	 * @param excluded the ids of upstreams that must not be selected
	 * @param prompt the prompt
	 * @param engine whether the upstreams are model engines
	 * @param now the current time
	 * @return the upstreams with the lowest cost, in ascending order; empty if there are
	 * none
	 */
	List<RankedUpstream> rank(List<UpstreamState> candidates, Set<String> excluded, List<PromptPart> prompt,
			boolean engine, long now) {
		return rank(candidates, excluded, prompt, engine, Optional.empty(), now);
	}

	/**
	 * Ranks upstreams by cost for a request with an affinity key.
	 * @param candidates the upstreams
	 * @param excluded the ids of upstreams that must not be selected
	 * @param prompt the prompt
	 * @param engine whether the upstreams are model engines
	 * @param affinityKey the affinity key, if the route uses affinity
	 * @param now the current time
	 * @return the upstreams with the lowest cost, in ascending order; empty if there are
	 * none
	 */
	List<RankedUpstream> rank(List<UpstreamState> candidates, Set<String> excluded, List<PromptPart> prompt,
			boolean engine, Optional<String> affinityKey, long now) {
		Optional<UpstreamState> target = affinityKey.flatMap((name) -> affinityTarget(candidates, name));
		List<RankedUpstream> best = new ArrayList<>(MAX_RANKED + 1);
		for (UpstreamState candidate : sample(candidates, excluded, prompt, target, now)) {
			insert(best, score(candidate, prompt, engine, target.isPresent() && target.get() == candidate, now));
		}
		return best;
	}

	private Set<UpstreamState> sample(List<UpstreamState> candidates, Set<String> excluded, List<PromptPart> prompt,
			Optional<UpstreamState> target, long now) {
		List<UpstreamState> eligible = new ArrayList<>(candidates.size());
		for (UpstreamState candidate : candidates) {
			if (!excluded.contains(candidate.upstream().id())) {
				eligible.add(candidate);
			}
		}
		List<UpstreamState> healthy = eligible.stream().filter((candidate) -> !candidate.isEjected(now)).toList();
		List<UpstreamState> pool = healthy.isEmpty() ? eligible : healthy;
		if (pool.size() <= SAMPLE_SIZE) {
			return new LinkedHashSet<>(eligible);
		}
		Set<UpstreamState> sampled = new LinkedHashSet<>();
		while (sampled.size() < SAMPLE_SIZE) {
			sampled.add(pool.get(this.random.nextInt(pool.size())));
		}
		// The upstream with the most cached tokens may be the best one despite its load.
		pool.stream()
			.min(Comparator.<UpstreamState>comparingLong((candidate) -> candidate.uncachedTokens(prompt))
				.thenComparingInt((candidate) -> candidate.load(now)))
			.ifPresent(sampled::add);
		target.filter(pool::contains).ifPresent(sampled::add);
		return sampled;
	}

	// Rendezvous hashing: all relays select the same upstream without coordination, and
	// a membership change moves only the keys of the affected upstream.
	private static Optional<UpstreamState> affinityTarget(List<UpstreamState> candidates, String affinityKey) {
		Optional<UpstreamState> target = Optional.empty();
		int highest = Integer.MIN_VALUE;
		for (UpstreamState candidate : candidates) {
			long seed = ((long) affinityKey.hashCode() << Integer.SIZE)
					^ candidate.upstream().incarnationId().hashCode();
			int score = new SplittableRandom(seed).nextInt();
			if (target.isEmpty() || score > highest) {
				target = Optional.of(candidate);
				highest = score;
			}
		}
		return target;
	}

	private static void insert(List<RankedUpstream> best, RankedUpstream next) {
		int index = best.size();
		while (index > 0 && best.get(index - 1).costMillis() > next.costMillis()) {
			index--;
		}
		if (index < MAX_RANKED) {
			best.add(index, next);
		}
		if (best.size() > MAX_RANKED) {
			best.removeLast();
		}
	}

	private RankedUpstream score(UpstreamState candidate, List<PromptPart> prompt, boolean engine, boolean target,
			long now) {
		int load = candidate.load(now);
		long uncached = candidate.uncachedTokens(prompt);
		double cost = this.random.nextDouble();
		cost += engine ? engineCost(candidate, load, uncached) : (COST_OF_FULL_SERVICE_MS * load / candidate.slots());
		cost += candidate.upstream().zone().equals(this.zone) ? 0 : CROSS_ZONE_COST_MS;
		cost -= target ? AFFINITY_BONUS_MS : 0;
		cost += candidate.isEjected(now) ? EJECTED_COST_MS : 0;
		return new RankedUpstream(candidate, load, uncached, cost);
	}

	// Prefill blocks all running requests of an engine, so its cost is multiplied by
	// their number. Otherwise a program would move from the engine that has its prompt
	// cached to a slightly less loaded one.
	private static double engineCost(UpstreamState candidate, int load, long uncached) {
		int running = Math.min(load, candidate.slots());
		return uncached / PREFILL_TOKENS_PER_MS * (1 + running) + COST_PER_RUNNING_REQUEST_MS * load;
	}

	/**
	 * Immutable upstream with its expected cost and the inputs of the cost.
	 *
	 * @param state the state of the upstream
	 * @param load the estimated number of requests
	 * @param uncachedTokens the tokens of the prompt that are assumed not to be cached
	 * @param costMillis the expected cost in milliseconds
	 */
	record RankedUpstream(UpstreamState state, int load, long uncachedTokens, double costMillis) {

	}

}
