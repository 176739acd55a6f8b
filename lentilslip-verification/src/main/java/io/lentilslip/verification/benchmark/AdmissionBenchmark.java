package io.lentilslip.verification.benchmark;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.lentilslip.core.admission.ProgramAdmission;
import io.lentilslip.core.admission.ProgramClass;
import io.lentilslip.core.admission.WaitTolerance;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * The cost of a decision on a new program under overload, with an arrival each
 * millisecond and the updates that fall due. Not safe for use by several threads: each
 * thread of a benchmark has its own state.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class AdmissionBenchmark {

	private static final WaitTolerance TOLERANCE = WaitTolerance.of(Duration.ofMillis(200));

	private static final Duration WAIT = Duration.ofMillis(70);

	private static final Duration LONGEST_DELAY = Duration.ofSeconds(1);

	private static final int PRIORITIES = 3;

	/**
	 * The teams whose programs arrive.
	 */
	@Param({ "1", "75", "1500" })
	public int teams;

	private final ProgramAdmission admission = new ProgramAdmission(new SplittableRandom(1));

	private long now;

	/**
	 * Decides on a program that has just arrived.
	 * @return the decision
	 */
	@Benchmark
	public ProgramAdmission.Decision decide() {
		this.now++;
		if (this.admission.isOutdated(this.now)) {
			this.admission.update(WAIT, TOLERANCE, this.now);
		}
		int team = (int) (this.now % this.teams);
		return this.admission.decide("program-" + this.now, new ProgramClass(team % PRIORITIES, "team-" + team, 1),
				LONGEST_DELAY, this.now);
	}

}
