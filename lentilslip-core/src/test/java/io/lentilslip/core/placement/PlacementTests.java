package io.lentilslip.core.placement;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.LongStream;

import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.placement.Candidate.Availability;
import io.lentilslip.core.placement.Candidate.Load;
import io.lentilslip.core.placement.PlacementRequest.CachedPrefix;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlacementTests {

	private static final Instant START = Instant.parse("2030-01-01T00:00:00Z");

	private static final ZoneName LOCAL = new ZoneName("hala-tulcea");

	private static final ZoneName REMOTE = new ZoneName("hala-galati");

	private static final List<Placement> PLACEMENTS = List.of(new Placement.RoundRobin(), new Placement.LeastLoaded(),
			new Placement.AffinityOnly(), Placement.Default.STANDARD);

	// Upstreams are added, changed and removed in random order. Every strategy must
	// select a linked upstream whenever there is one, and never another, even if its
	// cache has the longest prefix.
	@Property(tries = 500, seed = "1")
	void selectsOnlyLinkedUpstreams(@ForAll long seed, @ForAll @IntRange(max = 3) int placement) {
		SplittableRandom random = new SplittableRandom(seed);
		Candidates candidates = Candidates.NONE;
		Map<VmName, Candidate> model = new HashMap<>();
		for (int step = 0; step < 40; step++) {
			Candidate candidate = new Candidate(vm(random.nextInt(8)), LOCAL, Availability.values()[random.nextInt(3)],
					load(random.nextInt(10)), random.nextInt(3));
			switch (random.nextInt(4)) {
				case 0 -> {
					candidates = candidates.without(candidate.vm());
					model.remove(candidate.vm());
				}
				case 1 -> {
					candidates = candidates.changed(candidate.vm(), Candidate::callSent);
					model.computeIfPresent(candidate.vm(), (vm, known) -> known.callSent());
				}
				default -> {
					candidates = candidates.with(candidate);
					model.put(candidate.vm(), candidate);
				}
			}
			List<VmName> linked = model.values()
				.stream()
				.filter((known) -> known.availability() == Availability.LINKED)
				.map(Candidate::vm)
				.toList();
			Optional<VmName> chosen = PLACEMENTS.get(placement)
				.choose(candidates, request(random.nextLong(), 1, new CachedPrefix(candidate.vm(), 100_000)));
			assertThat(candidates.linkedSize()).isEqualTo(linked.size());
			assertThat(chosen.isPresent()).isEqualTo(!linked.isEmpty());
			chosen.ifPresent((vm) -> assertThat(linked).contains(vm));
			assertThat(candidates.find(candidate.vm())).isEqualTo(Optional.ofNullable(model.get(candidate.vm())));
		}
	}

	// Fifty entries share one stale report with an idle upstream. Selecting the least
	// loaded would send all calls there.
	@Property(tries = 100, seed = "2")
	void spreadsCallsOfEntriesThatShareAStaleReport(@ForAll long seed) {
		Candidates candidates = candidates(10, 5).with(Candidate.linked(vm(3), REMOTE, load(0)));
		SplittableRandom seeds = new SplittableRandom(seed);
		Map<VmName, Integer> chosen = new TreeMap<>();
		for (int entry = 0; entry < 50; entry++) {
			VmName vm = Placement.Default.STANDARD.choose(candidates, request(seeds.nextLong(), 50)).orElseThrow();
			chosen.merge(vm, 1, Integer::sum);
			assertThat(new Placement.LeastLoaded().choose(candidates, request(0, 50))).contains(vm(3));
		}
		assertThat(chosen.values()).allSatisfy((count) -> assertThat(count).isLessThanOrEqualTo(25));
		assertThat(chosen).hasSizeGreaterThanOrEqualTo(5);
	}

	// One entry sends a burst between two reports. Its own calls must count, or the burst
	// would go to a few upstreams.
	@Property(tries = 50, seed = "3")
	void correctsAStaleReportByOwnCalls(@ForAll long seed) {
		Candidates candidates = candidates(8, 0);
		SplittableRandom seeds = new SplittableRandom(seed);
		for (int call = 0; call < 80; call++) {
			VmName vm = Placement.Default.STANDARD.choose(candidates, request(seeds.nextLong(), 1)).orElseThrow();
			candidates = candidates.changed(vm, Candidate::callSent);
		}
		for (int number = 0; number < 8; number++) {
			assertThat(candidates.find(vm(number)).orElseThrow().sentSinceReport()).isBetween(6, 14);
		}
	}

	@Property(tries = 20, seed = "4")
	void weighsACachedPrefixAgainstQueueing(@ForAll long seed) {
		CachedPrefix cached = new CachedPrefix(vm(1), 5000);
		Candidates idle = candidates(2, 0);
		Candidates busy = idle.with(Candidate.linked(vm(1), LOCAL, load(40)));
		assertThat(Placement.Default.STANDARD.choose(idle, request(seed, 1, cached))).contains(vm(1));
		assertThat(Placement.Default.STANDARD.choose(busy, request(seed, 1, cached))).contains(vm(0));
		assertThat(new Placement.AffinityOnly().choose(busy, request(seed, 1, cached))).contains(vm(1));
	}

	@Property(tries = 20, seed = "5")
	void prefersTheLocalZoneAtEqualLoad(@ForAll long seed) {
		Candidates candidates = Candidates.NONE.with(Candidate.linked(vm(0), REMOTE, load(1)))
			.with(Candidate.linked(vm(1), LOCAL, load(1)));
		assertThat(Placement.Default.STANDARD.choose(candidates, request(seed, 1))).contains(vm(1));
	}

	@Test
	void placesRoundRobin() {
		Candidates candidates = candidates(3, 0);
		List<VmName> chosen = LongStream.range(0, 6)
			.mapToObj((number) -> new PlacementRequest(LOCAL, List.of(), number, 0, 1))
			.map((request) -> new Placement.RoundRobin().choose(candidates, request).orElseThrow())
			.toList();
		assertThat(chosen).containsExactly(vm(0), vm(1), vm(2), vm(0), vm(1), vm(2));
	}

	@Test
	void correctsTheLoadByEndedCallsAndReports() {
		Candidate candidate = Candidate.linked(vm(0), LOCAL, load(4)).callSent().callSent();
		assertThat(candidate.utilization(1)).isEqualTo(6 / 8.0);
		assertThat(candidate.utilization(3)).isEqualTo(10 / 8.0);
		assertThat(candidate.callEnded().callEnded().callEnded().utilization(1)).isEqualTo(3 / 8.0);
		assertThat(candidate.withLoad(load(5)).utilization(1)).isEqualTo(5 / 8.0);
	}

	private static Candidates candidates(int count, int running) {
		Candidates candidates = Candidates.NONE;
		for (int number = 0; number < count; number++) {
			candidates = candidates.with(Candidate.linked(vm(number), LOCAL, load(running)));
		}
		return candidates;
	}

	private static PlacementRequest request(long seed, int entryCount, CachedPrefix... prefixes) {
		return new PlacementRequest(LOCAL, List.of(prefixes), 0, seed, entryCount);
	}

	private static Load load(int calls) {
		return new Load(Math.max(0, calls - 8), Math.min(8, calls), 8, START);
	}

	private static VmName vm(int number) {
		return new VmName("runner-" + number);
	}

}
