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

	private static final Limits ONE_WAITS = new Limits(Limits.RequestLimits.DEFAULT, Limits.ProgramLimits.DEFAULT,
			Limits.DeadlineLimits.DEFAULT, new Limits.QueueLimits(1, 10), Limits.FaultLimits.DEFAULT,
			Limits.DEFAULT.drainTime());

	// A group sends more than may wait. Who does not fit is told at once that the call
	// did not run and when to come again; who waits keeps its place.
	@Test
	void refusesWhatDoesNotFit() {
		SidecarSite site = new SidecarSite(ONE_WAITS, 1);
		site.callAlone("one", LONG);
		AttemptId waiting = site.callAlone("two", LONG);
		CallFailure failure = site.failureOf(site.callAlone("three", LONG));
		assertThat(failure.cause()).isEqualTo(FailureCause.QUEUE_FULL);
		assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(failure.retryAfter()).isPresent();
		site.answer(0);
		assertThat(site.outcomeOf(waiting)).isEmpty();
		assertThat(site.started()).containsExactly("one", "two");
	}

	// The deadline of a call passes while it waits. It leaves the queue with that, so the
	// caller can be told for sure that it did not and will not run.
	@Test
	void neverStartsACallAfterItsDeadline() {
		SidecarSite site = new SidecarSite(Limits.DEFAULT, 1);
		site.callAlone("one", LONG);
		AttemptId waiting = site.callAlone("two", SHORT);
		site.pass(SHORT);
		assertThat(site.failureOf(waiting).cause()).isEqualTo(FailureCause.DEADLINE_PASSED);
		assertThat(site.failureOf(waiting).verdict()).isEqualTo(Verdict.NOT_RUN);
		site.answer(0);
		assertThat(site.started()).containsExactly("one");
		assertThat(site.leftovers()).isEmpty();
	}

	// The caller of a waiting call leaves. The engine is not asked for it, and the next
	// one takes its place.
	@Test
	void forgetsAWaitingCallThatIsCancelled() {
		SidecarSite site = new SidecarSite(Limits.DEFAULT, 1);
		site.callAlone("one", LONG);
		AttemptId cancelled = site.callAlone("two", LONG);
		site.callAlone("three", LONG);
		site.cancel(cancelled);
		site.answer(0);
		site.answer(1);
		assertThat(site.started()).containsExactly("one", "three");
		assertThat(site.outcomeOf(cancelled)).isEmpty();
		assertThat(site.leftovers()).isEmpty();
	}

	// A request crashes the engine in company. Its next attempt waits until nothing else
	// runs, and nothing is started beside it. It crashes the engine again, alone this
	// time: that is its limit, and it is not run a third time.
	@Test
	void stopsARequestThatCrashesTheEngineAlone() {
		SidecarSite site = new SidecarSite(Limits.DEFAULT, 4);
		AttemptId guilty = site.callAlone("guilty", LONG);
		site.crash(0);
		assertThat(site.outcomeOf(guilty)).isEmpty();
		site.settleLog();
		assertThat(site.failureOf(guilty).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		site.report(2);
		site.callAlone("before", LONG);
		AttemptId again = site.callAlone("guilty", LONG);
		site.callAlone("after", LONG);
		assertThat(site.started()).containsExactly("guilty", "before");
		site.answer(1);
		assertThat(site.started()).containsExactly("guilty", "before", "guilty");
		site.crash(2);
		site.settleLog();
		assertThat(site.failureOf(again).cause()).isEqualTo(FailureCause.UPSTREAM_FAILED);
		site.report(3);
		CallFailure stopped = site.failureOf(site.callAlone("guilty", LONG));
		assertThat(stopped.cause()).isEqualTo(FailureCause.CRASHES_UPSTREAMS);
		assertThat(stopped.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(site.started()).containsExactly("guilty", "before", "guilty", "after");
	}

	// An innocent request runs beside a guilty one when the engine crashes, and is blamed
	// with it. It runs alone once and ends without a crash: that clears it, and from then
	// on it runs in company again.
	@Test
	void clearsAnInnocentRequestThatEndsAlone() {
		SidecarSite site = new SidecarSite(Limits.DEFAULT, 4);
		site.callAlone("guilty", LONG);
		site.callAlone("innocent", LONG);
		site.crash(0);
		site.crash(1);
		site.settleLog();
		site.report(2);
		AttemptId alone = site.callAlone("innocent", LONG);
		site.callAlone("other", LONG);
		assertThat(site.started()).containsExactly("guilty", "innocent", "innocent");
		site.answer(2);
		site.settleLog();
		assertThat(site.answerOf(alone).response()).isNotNull();
		site.callAlone("innocent", LONG);
		assertThat(site.started()).containsExactly("guilty", "innocent", "innocent", "other", "innocent");
	}

}
