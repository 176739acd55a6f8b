package io.lentilslip.verification.benchmark;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.lentilslip.core.configuration.ServiceClass;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.share.FairQueue;
import io.lentilslip.core.share.FairQueue.Entry;
import io.lentilslip.core.share.FairQueue.OfferResult;
import io.lentilslip.core.share.FairQueue.PollResult;
import io.lentilslip.core.share.Ordering;
import io.lentilslip.core.share.QueueBounds;
import io.lentilslip.core.share.Shares;
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
 * The cost of the steps of a fair queue in which each group has calls waiting. Not safe
 * for use by several threads: each thread of a benchmark has its own state.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class QueueBenchmark {

	private static final Instant NOW = Instant.parse("2030-01-01T00:00:00Z");

	private static final Instant DEADLINE = NOW.plus(Duration.ofDays(1));

	private static final int CALLS_PER_GROUP = 4;

	private static final int PROGRAMS_PER_GROUP = 7;

	private static final int BOUND = 100_000;

	private static final int ESTIMATE = 1000;

	/**
	 * The groups that have calls waiting.
	 */
	@Param({ "2", "100", "1500" })
	public int groups;

	private List<ProgramId> programs;

	private FairQueue<Long, Long> filled;

	private FairQueue<Long, Long> changing;

	private long lastId;

	/**
	 * Fills the queue.
	 */
	@Setup
	public void fill() {
		this.programs = IntStream.range(0, this.groups * PROGRAMS_PER_GROUP).mapToObj(this::program).toList();
		FairQueue<Long, Long> queue = FairQueue.create(Ordering.FairShare.DEFAULT, Shares.EQUAL,
				QueueBounds.of(BOUND, BOUND));
		for (int call = 0; call < this.groups * CALLS_PER_GROUP; call++) {
			queue = with(queue, nextEntry());
		}
		this.filled = queue;
		this.changing = queue;
	}

	/**
	 * Offers a call to the filled queue.
	 * @return the queue with the call
	 */
	@Benchmark
	public OfferResult<Long, Long> offer() {
		return this.filled.offer(nextEntry());
	}

	/**
	 * Polls the filled queue.
	 * @return the queue without the call
	 */
	@Benchmark
	public PollResult<Long, Long> poll() {
		return this.filled.poll(NOW);
	}

	/**
	 * Takes one call through a queue that changes with each: offers a call, polls the
	 * next one and settles it.
	 * @return the queue after it
	 */
	@Benchmark
	public FairQueue<Long, Long> offerPollAndSettle() {
		PollResult<Long, Long> polled = with(this.changing, nextEntry()).poll(NOW);
		Entry<Long, Long> served = polled.entry().orElseThrow();
		this.changing = polled.queue().settle(served, served.estimatedCost() + served.id() % ESTIMATE);
		return this.changing;
	}

	private static FairQueue<Long, Long> with(FairQueue<Long, Long> queue, Entry<Long, Long> entry) {
		return switch (queue.offer(entry)) {
			case OfferResult.Queued<Long, Long> queued -> queued.queue();
			case OfferResult.Rejected<Long, Long> full -> throw new IllegalStateException("the queue is full");
		};
	}

	private Entry<Long, Long> nextEntry() {
		long id = this.lastId++;
		ProgramId program = this.programs.get((int) (id % this.programs.size()));
		return new Entry<>(id, program.group(), Optional.of(program), ServiceClass.INTERACTIVE, NOW.plusMillis(id),
				DEADLINE, ESTIMATE, id);
	}

	private ProgramId program(int number) {
		GroupName group = new GroupName("group-" + number % this.groups);
		return new ProgramId(group, new ProgramName("program-" + number));
	}

}
