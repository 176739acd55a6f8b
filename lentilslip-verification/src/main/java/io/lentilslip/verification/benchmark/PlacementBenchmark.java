package io.lentilslip.verification.benchmark;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.placement.Candidate;
import io.lentilslip.core.placement.Candidate.Load;
import io.lentilslip.core.placement.Candidates;
import io.lentilslip.core.placement.Placement;
import io.lentilslip.core.placement.PlacementRequest;
import io.lentilslip.core.placement.PlacementRequest.CachedPrefix;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * The cost of a placement and of the changes that follow it. Not safe for use by several
 * threads: each thread of a benchmark has its own state.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class PlacementBenchmark {

	private static final Instant NOW = Instant.parse("2030-01-01T00:00:00Z");

	private static final ZoneName NEAR = zone(0);

	private static final int ZONES = 7;

	private static final int LIMIT = 32;

	private static final int PREFIX = 2000;

	/**
	 * The upstreams to choose from.
	 */
	@Param({ "10", "100", "1700" })
	public int candidates;

	private final Placement placement = Placement.Default.STANDARD;

	private List<VmName> vms;

	private Candidates filled;

	private Candidates changing;

	private long decisions;

	/**
	 * Makes the candidates.
	 */
	@Setup
	public void fill() {
		this.vms = IntStream.range(0, this.candidates).mapToObj((number) -> new VmName("runner-" + number)).toList();
		Candidates all = Candidates.NONE;
		for (int number = 0; number < this.candidates; number++) {
			Load load = new Load(0, number % LIMIT, LIMIT, NOW);
			all = all.with(Candidate.linked(this.vms.get(number), zone(number), load));
		}
		this.filled = all;
		this.changing = all;
	}

	/**
	 * Chooses an upstream, where two are believed to be warm.
	 * @return the VM of the upstream
	 */
	@Benchmark
	public Optional<VmName> choose() {
		return this.placement.choose(this.filled, nextRequest());
	}

	/**
	 * Chooses an upstream, counts the call as sent to it and another one's as ended.
	 * @return the candidates after it
	 */
	@Benchmark
	public Candidates chooseSendAndEnd() {
		PlacementRequest request = nextRequest();
		VmName vm = this.placement.choose(this.changing, request).orElseThrow();
		VmName other = this.vms.get((int) (request.number() % this.candidates));
		this.changing = this.changing.changed(vm, Candidate::callSent).changed(other, Candidate::callEnded);
		return this.changing;
	}

	private PlacementRequest nextRequest() {
		long number = this.decisions++;
		int warm = (int) (number % this.candidates);
		List<CachedPrefix> prefixes = List.of(new CachedPrefix(this.vms.get(warm), PREFIX),
				new CachedPrefix(this.vms.get((warm + 1) % this.candidates), PREFIX / 2));
		return new PlacementRequest(NEAR, prefixes, number, number, 1);
	}

	private static ZoneName zone(int number) {
		return new ZoneName("zone-" + number % ZONES);
	}

}
