package io.lentilslip.core.sidecar;

import java.time.Duration;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class QueueRulesTests {

	private static final Duration LONG = Duration.ofMinutes(1);

	private static final Duration SHORT = Duration.ofSeconds(10);

	private static final Limits ONE_QUEUED_CALL = new Limits(Limits.RequestLimits.DEFAULT, Limits.ProgramLimits.DEFAULT,
			Limits.DeadlineLimits.DEFAULT, new Limits.QueueLimits(1, 10), Limits.FaultLimits.DEFAULT,
			Limits.DEFAULT.drainTime());

	// Calls beyond the limit of the queue are refused at once as not run, with a retry
	// delay; queued calls keep their position.
	@Test
	void refusesCallsBeyondTheQueueLimit() {
		SidecarFixture sidecar = new SidecarFixture(ONE_QUEUED_CALL, 1);
		sidecar.callWithoutProgram("one", LONG);
		AttemptId waiting = sidecar.callWithoutProgram("two", LONG);
		CallFailure failure = sidecar.failureOf(sidecar.callWithoutProgram("three", LONG));
		assertThat(failure.cause()).isEqualTo(FailureCause.QUEUE_FULL);
		assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(failure.retryAfter()).isPresent();
		sidecar.answer(0);
		assertThat(sidecar.outcomeOf(waiting)).isEmpty();
		assertThat(sidecar.started()).containsExactly("one", "two");
	}

	// A queued call whose deadline passes leaves the queue, so that it can be reported as
	// not run.
	@Test
	void doesNotStartACallAfterItsDeadline() {
		SidecarFixture sidecar = new SidecarFixture(Limits.DEFAULT, 1);
		sidecar.callWithoutProgram("one", LONG);
		AttemptId waiting = sidecar.callWithoutProgram("two", SHORT);
		sidecar.advanceTime(SHORT);
		assertThat(sidecar.failureOf(waiting).cause()).isEqualTo(FailureCause.DEADLINE_PASSED);
		assertThat(sidecar.failureOf(waiting).verdict()).isEqualTo(Verdict.NOT_RUN);
		sidecar.answer(0);
		assertThat(sidecar.started()).containsExactly("one");
		assertThat(sidecar.leftovers()).isEmpty();
	}

	// A cancelled call leaves the queue, and the next one takes its slot.
	@Test
	void removesACancelledCall() {
		SidecarFixture sidecar = new SidecarFixture(Limits.DEFAULT, 1);
		sidecar.callWithoutProgram("one", LONG);
		AttemptId cancelled = sidecar.callWithoutProgram("two", LONG);
		sidecar.callWithoutProgram("three", LONG);
		sidecar.cancel(cancelled);
		sidecar.answer(0);
		sidecar.answer(1);
		assertThat(sidecar.started()).containsExactly("one", "three");
		assertThat(sidecar.outcomeOf(cancelled)).isEmpty();
		assertThat(sidecar.leftovers()).isEmpty();
	}

	// A request that was running during a crash is retried in isolation. If the engine
	// crashes again, the request is not run a third time.
	@Test
	void stopsARequestThatCrashesTheEngineInIsolation() {
		SidecarFixture sidecar = new SidecarFixture(Limits.DEFAULT, 4);
		AttemptId first = sidecar.callWithoutProgram("poison", LONG);
		sidecar.crash(0);
		assertThat(sidecar.outcomeOf(first)).isEmpty();
		sidecar.completeAppends();
		assertThat(sidecar.failureOf(first).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		sidecar.report(2);
		sidecar.callWithoutProgram("before", LONG);
		AttemptId retry = sidecar.callWithoutProgram("poison", LONG);
		sidecar.callWithoutProgram("after", LONG);
		assertThat(sidecar.started()).containsExactly("poison", "before");
		sidecar.answer(1);
		assertThat(sidecar.started()).containsExactly("poison", "before", "poison");
		sidecar.crash(2);
		sidecar.completeAppends();
		assertThat(sidecar.failureOf(retry).cause()).isEqualTo(FailureCause.UPSTREAM_FAILED);
		sidecar.report(3);
		CallFailure stopped = sidecar.failureOf(sidecar.callWithoutProgram("poison", LONG));
		assertThat(stopped.cause()).isEqualTo(FailureCause.CRASHES_UPSTREAMS);
		assertThat(stopped.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(sidecar.started()).containsExactly("poison", "before", "poison", "after");
	}

	// A request that ran alongside the cause of a crash is cleared by a run in isolation
	// without a crash, and runs alongside others again.
	@Test
	void clearsARequestThatEndsInIsolation() {
		SidecarFixture sidecar = new SidecarFixture(Limits.DEFAULT, 4);
		sidecar.callWithoutProgram("poison", LONG);
		sidecar.callWithoutProgram("harmless", LONG);
		sidecar.crash(0);
		sidecar.crash(1);
		sidecar.completeAppends();
		sidecar.report(2);
		AttemptId isolated = sidecar.callWithoutProgram("harmless", LONG);
		sidecar.callWithoutProgram("other", LONG);
		assertThat(sidecar.started()).containsExactly("poison", "harmless", "harmless");
		sidecar.answer(2);
		sidecar.completeAppends();
		assertThat(sidecar.answerOf(isolated).response()).isNotNull();
		sidecar.callWithoutProgram("harmless", LONG);
		assertThat(sidecar.started()).containsExactly("poison", "harmless", "harmless", "other", "harmless");
	}

}
