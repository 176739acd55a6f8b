package io.lentilslip.standin.engine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BatchingModelTests {

	private static final int MEMORY_TOKENS = 320;

	private static final EngineLimits LIMITS = EngineLimits.small()
		.withMemoryTokens(MEMORY_TOKENS)
		.withBatch(3)
		.withWaiting(8);

	private final BatchingModel model = new BatchingModel(LIMITS, EngineTiming.asFastAsPossible());

	@Property(tries = 2_000, seed = "20261202")
	void memoryStaysWithinItsTotalAndPinsAreNotEvicted(@ForAll("actions") List<Action> actions) {
		Driver driver = new Driver();
		for (Action action : actions) {
			driver.apply(action);
			assertThat(driver.model.heldTokens() + driver.model.evictableTokens()).isBetween(0, MEMORY_TOKENS);
			assertThat(driver.model.running()).isLessThanOrEqualTo(LIMITS.batch());
			for (BatchingModel.PinnedSession session : driver.model.sessions()) {
				assertThat(driver.resident).containsAll(hashes(session.chain()));
			}
		}
	}

	@Property(tries = 2_000, seed = "20261203")
	void everyRequestEndsOnceAndReleasedMemoryReturnsToZero(@ForAll("actions") List<Action> actions) {
		Driver driver = new Driver();
		actions.forEach(driver::apply);
		driver.releaseAll();
		driver.run();
		assertThat(driver.ended).containsExactlyInAnyOrderElementsOf(driver.accepted);
		assertThat(driver.model.waiting()).isZero();
		assertThat(driver.model.heldTokens()).isZero();
	}

	@Provide
	Arbitrary<List<Action>> actions() {
		Arbitrary<Integer> session = Arbitraries.integers().between(0, 4);
		Arbitrary<Action> submit = Combinators
			.combine(Arbitraries.integers().between(1, 200), Arbitraries.integers().between(0, 60), session,
					Arbitraries.integers().between(0, 2))
			.as(Submit::new);
		Arbitrary<Action> other = Arbitraries.oneOf(Arbitraries.integers().between(1, 20).map(Steps::new),
				session.map(Release::new), Arbitraries.integers().between(1, 40).map(Cancel::new),
				session.map(Import::new));
		return Arbitraries.oneOf(submit, other).list().ofMaxSize(60);
	}

	@Test
	void computesASharedBeginningOnce() {
		this.model.submit(request(1, words("a", 64), 4, Optional.empty()));
		drain();
		this.model.submit(request(2, words("a", 64), 4, Optional.empty()));
		assertThat(this.model.step(0).orElseThrow().events()).contains(new ModelEvent.Started(2, 63));
		assertThat(this.model.prefilledTokens()).isEqualTo(65);
	}

	/**
	 * A session's pin fills the memory. The next request waits: its caller sees no answer
	 * yet. Once the lease of the pin has ended, which nobody asked for, it runs.
	 */
	@Test
	void requestWaitsForMemoryUntilALeaseEnds() {
		this.model.submit(request(1, words("a", 300), 10, pin("full", 1_000)));
		drain();
		this.model.submit(request(2, words("b", 100), 1, Optional.empty()));
		assertThat(this.model.step(999)).isEmpty();
		assertThat(this.model.waiting()).isOne();
		assertThat(this.model.step(1_000)).isPresent();
		assertThat(this.model.sessions()).isEmpty();
	}

	/**
	 * A program ends and its session is released while the session's last request still
	 * runs. The end of that request must not pin the session again, for nobody would
	 * release it any more.
	 */
	@Test
	void releaseWhileARequestRunsOrWaitsLeavesNoPin() {
		this.model.submit(request(1, words("a", 300), 10, pin("program", Long.MAX_VALUE)));
		this.model.submit(request(2, words("a", 300), 10, pin("program", Long.MAX_VALUE)));
		this.model.step(0);
		assertThat(this.model.release("program")).isFalse();
		drain();
		assertThat(this.model.sessions()).isEmpty();
		assertThat(this.model.heldTokens()).isZero();
	}

	@Test
	void refusesWhatCanNeverRunAndWhatTheQueueCannotTake() {
		assertThat(this.model.submit(request(1, words("a", MEMORY_TOKENS), 1, Optional.empty())))
			.isEqualTo(BatchingModel.Admission.TOO_LONG);
		for (int i = 0; i < LIMITS.waiting(); i++) {
			this.model.submit(request(2 + i, words("a", 1), 1, Optional.empty()));
		}
		assertThat(this.model.submit(request(99, words("a", 1), 1, Optional.empty())))
			.isEqualTo(BatchingModel.Admission.QUEUE_FULL);
	}

	@Test
	void decodeStepTakesLongerWithMoreRequests() {
		EngineTiming timing = new EngineTiming(1_000, 8, 2, 1, 0);
		assertThat(timing.stepNanos(0, 1)).isEqualTo(10);
		assertThat(timing.stepNanos(0, 3)).isEqualTo(14);
		assertThat(timing.stepNanos(1, 0)).isEqualTo(1_000_000);
	}

	private static List<Long> hashes(BlockChain chain) {
		return IntStream.range(0, chain.fullBlocks()).mapToObj(chain::hash).toList();
	}

	private void drain() {
		while (this.model.step(0).isPresent()) {
			assertThat(this.model.running()).isLessThanOrEqualTo(LIMITS.batch());
		}
	}

	private static ModelRequest request(long number, List<String> prompt, int answer, Optional<ModelRequest.Pin> pin) {
		AnswerPlan plan = new AnswerPlan(prompt.hashCode(), 0, answer, "stop", Optional.empty());
		return new ModelRequest(number, BlockChain.of(prompt), plan, pin);
	}

	private static Optional<ModelRequest.Pin> pin(String session, long lease) {
		return Optional.of(new ModelRequest.Pin(session, Optional.of(lease)));
	}

	private static List<String> words(String prefix, int count) {
		return IntStream.range(0, count).mapToObj((i) -> prefix + i).toList();
	}

	private static final class Driver implements BlockMemory.Listener {

		private final BatchingModel model = new BatchingModel(LIMITS, EngineTiming.asFastAsPossible(), this);

		private final Set<Long> resident = new HashSet<>();

		private final Set<Long> accepted = new HashSet<>();

		private final List<Long> ended = new ArrayList<>();

		private long number;

		@Override
		public void stored(long hash, long parent, int position) {
			assertThat(this.resident.add(hash)).isTrue();
		}

		@Override
		public void evicted(long hash) {
			assertThat(this.resident.remove(hash)).isTrue();
		}

		private void apply(Action action) {
			switch (action) {
				case Submit submit -> submit(submit);
				case Steps steps -> IntStream.range(0, steps.count()).forEach((i) -> step());
				case Release release -> this.model.release("s" + release.session());
				case Cancel cancel -> cancel(cancel.number());
				case Import imported -> this.model.importSession(pin("s" + imported.session()),
						BlockChain.of(words("p" + imported.session(), 70)), 0);
			}
		}

		private void submit(Submit submit) {
			this.number++;
			Optional<ModelRequest.Pin> pin = (submit.session() == 0) ? Optional.empty()
					: Optional.of(pin("s" + submit.session()));
			ModelRequest request = request(this.number, words("p" + submit.prefix(), submit.prompt()), submit.answer(),
					pin);
			if (this.model.submit(request) == BatchingModel.Admission.QUEUED) {
				this.accepted.add(this.number);
			}
		}

		private static ModelRequest.Pin pin(String session) {
			return new ModelRequest.Pin(session, Optional.empty());
		}

		private void cancel(long request) {
			if (this.model.cancel(request) != BatchingModel.Cancellation.UNKNOWN) {
				this.ended.add(request);
			}
		}

		private boolean step() {
			Optional<BatchingModel.Step> step = this.model.step(0);
			step.ifPresent((taken) -> taken.events().forEach((event) -> {
				if (event instanceof ModelEvent.Finished) {
					this.ended.add(event.number());
				}
			}));
			return step.isPresent();
		}

		private void releaseAll() {
			IntStream.rangeClosed(0, 4).forEach((session) -> this.model.release("s" + session));
		}

		private void run() {
			int steps = 0;
			while (step()) {
				steps++;
				assertThat(steps).isLessThan(10_000);
			}
		}

	}

	private sealed interface Action {

	}

	private record Submit(int prompt, int answer, int session, int prefix) implements Action {

	}

	private record Steps(int count) implements Action {

	}

	private record Release(int session) implements Action {

	}

	private record Cancel(int number) implements Action {

	}

	private record Import(int session) implements Action {

	}

}
