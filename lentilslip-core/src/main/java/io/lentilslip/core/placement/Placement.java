package io.lentilslip.core.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import io.lentilslip.core.identity.VmName;

/**
 * A strategy that chooses the upstream for a new program or a single call. It never
 * chooses one that leaves or cannot be reached, and always chooses one if there is one.
 * The same candidates and request give the same choice. Implementations are immutable and
 * safe for use by several threads.
 */
public sealed interface Placement {

	/**
	 * The most upstreams with a prefix in their cache that a choice considers.
	 */
	int MAX_CACHED_PREFIXES = 4;

	/**
	 * Chooses an upstream.
	 * @param candidates the upstreams to choose from
	 * @param request what else the choice goes by
	 * @return the VM of the upstream, or an empty result if none may be given work
	 */
	default Optional<VmName> choose(Candidates candidates, PlacementRequest request) {
		if (candidates.linkedSize() == 0) {
			return Optional.empty();
		}
		return Optional.of(select(candidates, request).vm());
	}

	/**
	 * Chooses among at least one candidate that may be given work.
	 * @param candidates the upstreams to choose from
	 * @param request what else the choice goes by
	 * @return the upstream
	 */
	Candidate select(Candidates candidates, PlacementRequest request);

	private static Stream<Candidate> cachedCandidates(Candidates candidates, PlacementRequest request) {
		return request.cachedPrefixes()
			.stream()
			.limit(MAX_CACHED_PREFIXES)
			.flatMap((prefix) -> candidates.findLinked(prefix.vm()).stream());
	}

	private static Candidate[] randomPair(Candidates candidates, PlacementRequest request) {
		int size = candidates.linkedSize();
		SplittableRandom random = new SplittableRandom(request.seed());
		int first = random.nextInt(size);
		int distance = (size > 1) ? 1 + random.nextInt(size - 1) : 0;
		return new Candidate[] { candidates.linkedAt(first), candidates.linkedAt((first + distance) % size) };
	}

	/**
	 * A placement on each upstream in turn.
	 */
	record RoundRobin() implements Placement {

		@Override
		public Candidate select(Candidates candidates, PlacementRequest request) {
			return candidates.linkedAt(Math.floorMod(request.number(), candidates.linkedSize()));
		}

	}

	/**
	 * A placement on the upstream with the least load, as far as the entry knows.
	 */
	record LeastLoaded() implements Placement {

		@Override
		public Candidate select(Candidates candidates, PlacementRequest request) {
			return candidates.leastUtilized().orElseThrow();
		}

	}

	/**
	 * A placement on the upstream with the longest prefix in its cache, whatever its
	 * load; on a random one if none has any.
	 */
	record AffinityOnly() implements Placement {

		@Override
		public Candidate select(Candidates candidates, PlacementRequest request) {
			return cachedCandidates(candidates, request).findFirst()
				.orElseGet(() -> randomPair(candidates, request)[0]);
		}

	}

	/**
	 * A placement on that one of two random upstreams, and of those with the longest
	 * prefixes in their caches, where the call is expected to cost the least time. Two
	 * random ones rather than the least loaded of all: reports are old, so all entries
	 * would send to the one that seemed idle until the next report shows it overloaded.
	 *
	 * @param callTime the time that a full upstream takes until it has served as many
	 * calls as it takes at once
	 * @param zoneCost the time that another availability zone costs
	 * @param prefillRate the prompt tokens that an upstream computes in a second
	 */
	record Default(Duration callTime, Duration zoneCost, long prefillRate) implements Placement {

		/**
		 * The defaults.
		 */
		public static final Default STANDARD = new Default(Duration.ofSeconds(2), Duration.ofMillis(3), 10_000);

		private static final double NANOS_PER_SECOND = 1e9;

		/**
		 * Creates a placement.
		 * @param callTime the time that a full upstream takes until it has served as many
		 * calls as it takes at once
		 * @param zoneCost the time that another availability zone costs
		 * @param prefillRate the prompt tokens that an upstream computes in a second
		 * @throws IllegalArgumentException if a time is negative or the rate is not
		 * positive
		 */
		public Default {
			if (callTime.isNegative() || zoneCost.isNegative() || prefillRate < 1) {
				throw new IllegalArgumentException("times must not be negative, the rate must be positive");
			}
		}

		@Override
		public Candidate select(Candidates candidates, PlacementRequest request) {
			Stream<Candidate> random = Stream.of(randomPair(candidates, request));
			return Stream.concat(random, cachedCandidates(candidates, request))
				.min(Comparator.comparingDouble((candidate) -> expectedSeconds(candidate, request)))
				.orElseThrow();
		}

		private double expectedSeconds(Candidate candidate, PlacementRequest request) {
			double waiting = seconds(this.callTime) * candidate.utilization(request.entryCount());
			double distance = candidate.zone().equals(request.zone()) ? 0 : seconds(this.zoneCost);
			double saving = (double) cachedTokens(candidate, request) / this.prefillRate;
			return waiting + distance - saving;
		}

		private static long cachedTokens(Candidate candidate, PlacementRequest request) {
			return request.cachedPrefixes()
				.stream()
				.limit(MAX_CACHED_PREFIXES)
				.filter((prefix) -> prefix.vm().equals(candidate.vm()))
				.mapToLong(PlacementRequest.CachedPrefix::tokens)
				.findFirst()
				.orElse(0);
		}

		private static double seconds(Duration duration) {
			return duration.toNanos() / NANOS_PER_SECOND;
		}

	}

}
