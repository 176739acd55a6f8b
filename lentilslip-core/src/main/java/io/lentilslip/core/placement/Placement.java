package io.lentilslip.core.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import io.lentilslip.core.identity.VmName;

/**
 * Strategy that selects the upstream for a new program or a single call. It selects only
 * linked upstreams, and always selects one if any is linked. The result depends only on
 * the candidates and the request. Implementations are immutable and safe for use by
 * several threads.
 */
public sealed interface Placement {

	/**
	 * Maximum number of cached prefixes that a placement considers.
	 */
	int MAX_CACHED_PREFIXES = 4;

	/**
	 * Selects an upstream.
	 * @param candidates the available upstreams
	 * @param request the other inputs of the decision
	 * @return the VM of the upstream, or an empty result if none is linked
	 */
	default Optional<VmName> choose(Candidates candidates, PlacementRequest request) {
		if (candidates.linkedSize() == 0) {
			return Optional.empty();
		}
		return Optional.of(select(candidates, request).vm());
	}

	/**
	 * Selects an upstream. At least one candidate is linked.
	 * @param candidates the available upstreams
	 * @param request the other inputs of the decision
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
	 * Round-robin placement over the linked upstreams.
	 */
	record RoundRobin() implements Placement {

		@Override
		public Candidate select(Candidates candidates, PlacementRequest request) {
			return candidates.linkedAt(Math.floorMod(request.number(), candidates.linkedSize()));
		}

	}

	/**
	 * Placement on the upstream with the lowest known utilization.
	 */
	record LeastLoaded() implements Placement {

		@Override
		public Candidate select(Candidates candidates, PlacementRequest request) {
			return candidates.leastUtilized().orElseThrow();
		}

	}

	/**
	 * Placement on the upstream with the longest cached prefix regardless of load, or on
	 * a random one if none has a cached prefix.
	 */
	record AffinityOnly() implements Placement {

		@Override
		public Candidate select(Candidates candidates, PlacementRequest request) {
			return cachedCandidates(candidates, request).findFirst()
				.orElseGet(() -> randomPair(candidates, request)[0]);
		}

	}

	/**
	 * Placement by the lowest expected time among two random upstreams and those with the
	 * longest cached prefixes. Random upstreams are sampled instead of taking the least
	 * loaded one because all entries see the same stale reports and would overload it
	 * until its next report.
	 *
	 * @param callTime the time in which a fully utilized upstream serves as many calls as
	 * its concurrency limit
	 * @param zoneCost the added latency of another availability zone
	 * @param prefillRate the prompt tokens that an upstream processes per second
	 */
	record Default(Duration callTime, Duration zoneCost, long prefillRate) implements Placement {

		/**
		 * Default settings.
		 */
		public static final Default STANDARD = new Default(Duration.ofSeconds(2), Duration.ofMillis(3), 10_000);

		private static final double NANOS_PER_SECOND = 1e9;

		/**
		 * Creates a placement.
		 * @param callTime the time in which a fully utilized upstream serves as many
		 * calls as its concurrency limit
		 * @param zoneCost the added latency of another availability zone
		 * @param prefillRate the prompt tokens that an upstream processes per second
		 * @throws IllegalArgumentException if a duration is negative or the rate is not
		 * positive
		 */
		public Default {
			if (callTime.isNegative() || zoneCost.isNegative() || prefillRate < 1) {
				throw new IllegalArgumentException(
						"call time and zone cost must not be negative, and prefill rate must be positive");
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
