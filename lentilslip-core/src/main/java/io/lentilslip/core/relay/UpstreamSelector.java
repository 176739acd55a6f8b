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
 * Chooses the upstream that is expected to be done with a request first: by what it has
 * to read of the prompt, by what it runs, and by its distance. Immutable and safe for use
 * by several threads as far as its random generator is.
 *
 * @param zone the availability zone of this relay
 * @param random breaks ties, so that relays with the same beliefs spread out
 */
record UpstreamSelector(String zone, RandomGenerator random) {

	/**
	 * The prompt tokens that an engine reads in a millisecond, of the order that the
	 * users' engines show.
	 */
	private static final double TOKENS_PER_MS = 147;

	/**
	 * Milliseconds by which one more request slows an engine's others and itself: each of
	 * some 250 steps becomes about 0.04 ms longer, for it and for a neighbour.
	 */
	private static final double MS_PER_RUN = 15;

	/**
	 * Milliseconds that a request waits at a plain service when all places are taken,
	 * spread over the places.
	 */
	private static final double MS_AT_FULL_SERVICE = 100;

	/**
	 * Milliseconds for which an upstream that the object of a request leads to is
	 * preferred: less than one more request makes at a service of up to ten places, so
	 * that an object does not queue behind others there for the sake of being known.
	 */
	private static final double MS_OF_KNOWN_OBJECT = 10;

	/**
	 * Milliseconds that another zone costs there and back.
	 */
	private static final double MS_OF_OTHER_ZONE = 3;

	/**
	 * A penalty above every sum of the others: an upstream that has just failed is used
	 * only if all have.
	 */
	private static final double MS_OF_AVOIDED = 1_000_000;

	/**
	 * How many of the best candidates are kept, for those who ask why.
	 */
	private static final int KEPT = 3;

	/**
	 * How many upstreams one request chooses from, drawn at random (the power of a few
	 * choices). Beliefs about load are some hundred milliseconds old: relays that all
	 * chose the best of many would all choose the same one until word of it comes round.
	 */
	private static final int DRAWN = 5;

	/**
	 * Weighs upstreams.
	 * @param candidates the upstreams
	 * @param excluded the ids of those that are not to be chosen
	 * @param prompt the prompt
	 * @param engine whether they are engines
	 * @param now when
	 * @return the best ones, the best first; empty if there is none to choose
	 */
	List<RankedUpstream> rank(List<UpstreamState> candidates, Set<String> excluded, List<PromptPart> prompt,
			boolean engine, long now) {
		return rank(candidates, excluded, prompt, engine, Optional.empty(), now);
	}

	/**
	 * Weighs upstreams for a request about an object.
	 * @param candidates the upstreams
	 * @param excluded the ids of those that are not to be chosen
	 * @param prompt the prompt
	 * @param engine whether they are engines
	 * @param object the object, if an upstream that knows it is faster
	 * @param now when
	 * @return the best ones, the best first; empty if there is none to choose
	 */
	List<RankedUpstream> rank(List<UpstreamState> candidates, Set<String> excluded, List<PromptPart> prompt,
			boolean engine, Optional<String> object, long now) {
		Optional<UpstreamState> home = object.flatMap((name) -> home(candidates, name));
		List<RankedUpstream> best = new ArrayList<>(KEPT + 1);
		for (UpstreamState candidate : draw(candidates, excluded, prompt, home, now)) {
			insert(best, rank(candidate, prompt, engine, home.isPresent() && home.get() == candidate, now));
		}
		return best;
	}

	private Set<UpstreamState> draw(List<UpstreamState> candidates, Set<String> excluded, List<PromptPart> prompt,
			Optional<UpstreamState> home, long now) {
		List<UpstreamState> allowed = new ArrayList<>(candidates.size());
		for (UpstreamState candidate : candidates) {
			if (!excluded.contains(candidate.upstream().id())) {
				allowed.add(candidate);
			}
		}
		List<UpstreamState> well = allowed.stream().filter((candidate) -> !candidate.isEjected(now)).toList();
		List<UpstreamState> from = well.isEmpty() ? allowed : well;
		if (from.size() <= DRAWN) {
			return new LinkedHashSet<>(allowed);
		}
		Set<UpstreamState> drawn = new LinkedHashSet<>();
		while (drawn.size() < DRAWN) {
			drawn.add(from.get(this.random.nextInt(from.size())));
		}
		// The upstreams that know most of the prompt may be worth a queue.
		from.stream()
			.min(Comparator.<UpstreamState>comparingLong((candidate) -> candidate.uncachedTokens(prompt))
				.thenComparingInt((candidate) -> candidate.load(now)))
			.ifPresent(drawn::add);
		home.filter(from::contains).ifPresent(drawn::add);
		return drawn;
	}

	// All relays come to the same upstream without telling each other. An upstream that
	// comes or goes moves only the objects that lead to it.
	private static Optional<UpstreamState> home(List<UpstreamState> candidates, String object) {
		Optional<UpstreamState> home = Optional.empty();
		int highest = Integer.MIN_VALUE;
		for (UpstreamState candidate : candidates) {
			long seed = ((long) object.hashCode() << Integer.SIZE) ^ candidate.upstream().incarnationId().hashCode();
			int score = new SplittableRandom(seed).nextInt();
			if (home.isEmpty() || score > highest) {
				home = Optional.of(candidate);
				highest = score;
			}
		}
		return home;
	}

	private static void insert(List<RankedUpstream> best, RankedUpstream next) {
		int place = best.size();
		while (place > 0 && best.get(place - 1).costMillis() > next.costMillis()) {
			place--;
		}
		if (place < KEPT) {
			best.add(place, next);
		}
		if (best.size() > KEPT) {
			best.removeLast();
		}
	}

	private RankedUpstream rank(UpstreamState candidate, List<PromptPart> prompt, boolean engine, boolean home,
			long now) {
		int load = candidate.load(now);
		long unread = candidate.uncachedTokens(prompt);
		double cost = this.random.nextDouble();
		cost += engine ? engineCost(candidate, load, unread) : (MS_AT_FULL_SERVICE * load / candidate.slots());
		cost += candidate.upstream().zone().equals(this.zone) ? 0 : MS_OF_OTHER_ZONE;
		cost -= home ? MS_OF_KNOWN_OBJECT : 0;
		cost += candidate.isEjected(now) ? MS_OF_AVOIDED : 0;
		return new RankedUpstream(candidate, load, unread, cost);
	}

	// While an engine reads a prompt, all that runs there waits: what is read again costs
	// each of them as much as the request itself. Counted for the request alone, a
	// program would leave the engine that knows it for one that seems a little less busy.
	private static double engineCost(UpstreamState candidate, int load, long unread) {
		int runs = Math.min(load, candidate.slots());
		return unread / TOKENS_PER_MS * (1 + runs) + MS_PER_RUN * load;
	}

	/**
	 * An upstream with what it is expected to cost, and by what. Immutable.
	 *
	 * @param candidate the upstream
	 * @param load the requests that it is believed to run
	 * @param unread the tokens of the prompt that it is believed not to have cached
	 * @param cost the cost in milliseconds
	 */
	record RankedUpstream(UpstreamState state, int load, long uncachedTokens, double costMillis) {

	}

}
