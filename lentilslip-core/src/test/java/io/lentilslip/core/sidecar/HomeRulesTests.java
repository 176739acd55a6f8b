package io.lentilslip.core.sidecar;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.configuration.PolicyName;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.ledger.EndReason;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.role.AppendResult;
import io.lentilslip.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HomeRulesTests {

	private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration ORPHAN_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration MILLISECOND = Duration.ofMillis(1);

	private final SidecarFixture sidecar = SidecarFixture.withHome();

	// A turn larger than a log record could never be committed and would block the
	// following turns, so the call is refused as not run. The program continues.
	@Test
	void refusesATurnLargerThanALogRecord() {
		AttemptId large = this.sidecar.callUnnumbered("x".repeat(1 << 20));
		assertNotRun(large, FailureCause.TOO_LARGE);
		this.sidecar.callUnnumbered("small");
		assertThat(this.sidecar.started()).containsExactly("small");
	}

	// Programs of a removed group can't be called any more. The home ends them through
	// the log, so that every process knows and the engine holds no cache.
	@Test
	void endsProgramsWhoseGroupIsRemoved() {
		this.sidecar.callUnnumbered("hello");
		this.sidecar.accept(2, Configuration.ofSite(new PolicyName("site")).with(SidecarFixture.ZONE).build());
		assertEnded(EndReason.GROUP_REMOVED);
	}

	// A group must not pay for calls that the engine rejects without work; otherwise the
	// other groups would be preferred.
	@Test
	void chargesNothingForARunThatDidNotRun() {
		this.sidecar.callUnnumbered("hello");
		long charged = this.sidecar.attained();
		this.sidecar.end(0, new RunResult.Rejected(400, "no such tool"));
		assertThat(charged).isPositive();
		assertThat(this.sidecar.attained()).isZero();
	}

	// Call 2 arrives before call 1 through another entry. It must run after call 1, on
	// the history with that turn.
	@Test
	void runsACallAfterThePrecedingOne() {
		this.sidecar.call(SidecarFixture.OTHER_ENTRY, 2, "two", "");
		this.sidecar.call(1, "one");
		assertThat(this.sidecar.started()).containsExactly("one");
		this.sidecar.answer(0);
		assertThat(this.sidecar.started()).containsExactly("one", "two");
		assertThat(this.sidecar.runs().get(1).request().messages()).hasSize(3).startsWith("one");
	}

	// A call whose preceding call is missing is refused as not run after a timeout: on
	// the shorter history it would break the conversation.
	@Test
	void refusesACallWithoutItsPrecedingCall() {
		AttemptId second = this.sidecar.call(2, "two");
		this.sidecar.advanceTime(ORDER_TIMEOUT.minus(MILLISECOND));
		assertThat(this.sidecar.outcomeOf(second)).isEmpty();
		this.sidecar.advanceTime(MILLISECOND);
		assertNotRun(second, FailureCause.OUT_OF_ORDER);
		this.sidecar.call(1, "one");
		this.sidecar.answer(0);
		assertThat(this.sidecar.started()).containsExactly("one");
	}

	// Two calls with different content use the same number. The second one is refused
	// during and after the run of the first, and never runs.
	@Test
	void refusesAnotherCallOfTheSameNumber() {
		AttemptId first = this.sidecar.call(1, "one");
		assertNotRun(this.sidecar.call(SidecarFixture.OTHER_ENTRY, 1, "other", ""), FailureCause.KEY_REUSED);
		this.sidecar.answer(0);
		this.sidecar.completeAppends();
		assertNotRun(this.sidecar.call(SidecarFixture.OTHER_ENTRY, 1, "other", ""), FailureCause.KEY_REUSED);
		assertThat(this.sidecar.answerOf(first).number()).isEqualTo(1);
		assertThat(this.sidecar.started()).containsExactly("one");
	}

	// A retry of an answered call gets the stored answer without another request to the
	// engine.
	@Test
	void answersARetryFromTheHistory() {
		AttemptId first = this.sidecar.call(1, "one");
		this.sidecar.answer(0);
		assertThat(this.sidecar.outcomeOf(first)).isEmpty();
		this.sidecar.completeAppends();
		AttemptId retry = this.sidecar.call(SidecarFixture.OTHER_ENTRY, 1, "one", "");
		assertThat(this.sidecar.answerOf(retry)).isEqualTo(this.sidecar.answerOf(first));
		assertThat(this.sidecar.answerOf(retry).durability()).isEqualTo(Durability.COMMITTED);
		assertThat(this.sidecar.runs()).hasSize(1);
	}

	// Retries during a run join it, and each caller receives exactly the text that it has
	// not received yet.
	@Test
	void joinsARetryToTheRunningJob() {
		AttemptId first = this.sidecar.call(1, "one");
		this.sidecar.progress(0, "Good ");
		this.sidecar.progress(0, "morning");
		AttemptId full = this.sidecar.call(SidecarFixture.OTHER_ENTRY, 1, "one", "");
		AttemptId partial = this.sidecar.call(SidecarFixture.OTHER_ENTRY, 1, "one", "Good mor");
		this.sidecar.progress(0, ", all");
		assertThat(this.sidecar.textFor(first)).isEqualTo("Good morning, all");
		assertThat(this.sidecar.textFor(full)).isEqualTo("Good morning, all");
		assertThat(this.sidecar.textFor(partial)).isEqualTo("ning, all");
		this.sidecar.answer(0);
		this.sidecar.completeAppends();
		assertThat(List.of(first, full, partial)).allSatisfy(
				(attempt) -> assertThat(this.sidecar.answerOf(attempt)).isEqualTo(this.sidecar.answerOf(first)));
		assertThat(this.sidecar.runs()).hasSize(1);
	}

	// While the log is unavailable, an answer is sent as pending after a timeout. Once
	// the turn is committed, a retry gets it as committed.
	@Test
	void answersAsPendingWhileTheLogIsDown() {
		AttemptId first = this.sidecar.call(1, "one");
		this.sidecar.answer(0);
		this.sidecar.endAppend(AppendResult.NOT_APPENDED);
		this.sidecar.advanceTime(COMMIT_TIMEOUT.minus(MILLISECOND));
		assertThat(this.sidecar.outcomeOf(first)).isEmpty();
		this.sidecar.endAppend(AppendResult.NOT_APPENDED);
		this.sidecar.advanceTime(MILLISECOND);
		assertThat(this.sidecar.answerOf(first).durability()).isEqualTo(Durability.PENDING);
		assertThat(this.sidecar.answerOf(this.sidecar.call(1, "one")).durability()).isEqualTo(Durability.PENDING);
		this.sidecar.advanceTime(COMMIT_TIMEOUT);
		this.sidecar.completeAppends();
		assertThat(this.sidecar.answerOf(this.sidecar.call(1, "one")).durability()).isEqualTo(Durability.COMMITTED);
		assertThat(this.sidecar.runs()).hasSize(1);
	}

	// A superseded home cancels its run, which may have run, and refuses waiting calls as
	// not run. Late responses of the engine add no turn, and calls of the previous epoch
	// are refused.
	@Test
	void closesTheHomeInALaterEpoch() {
		AttemptId running = this.sidecar.call(1, "one");
		AttemptId waiting = this.sidecar.call(2, "two");
		ProcessId other = new ProcessId(new VmName("runner-2"), new Incarnation(1));
		this.sidecar.read(new LedgerRecord.ProgramClaimed(SidecarFixture.PROGRAM, Epoch.NONE.next().next(), other,
				Optional.empty()));
		assertThat(this.sidecar.failureOf(running).cause()).isEqualTo(FailureCause.MOVED);
		assertThat(this.sidecar.failureOf(running).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertNotRun(waiting, FailureCause.MOVED);
		assertThat(this.sidecar.cancelledRuns()).containsExactly(this.sidecar.runs().getFirst().run());
		this.sidecar.progress(0, "late");
		this.sidecar.answer(0);
		assertThat(this.sidecar.textFor(running)).isEmpty();
		assertThat(this.sidecar.appended()).isEmpty();
		assertNotRun(this.sidecar.call(1, "one"), FailureCause.MOVED);
	}

	// A program that receives no call for the idle time ends, but not while a call runs.
	@Test
	void endsAnIdleProgram() {
		Duration idle = Limits.ProgramLimits.DEFAULT.idleTime();
		this.sidecar.call(1, "one");
		this.sidecar.advanceTime(idle);
		assertThat(this.sidecar.appended()).isEmpty();
		this.sidecar.answer(0);
		this.sidecar.completeAppends();
		this.sidecar.advanceTime(idle.minus(MILLISECOND));
		assertThat(this.sidecar.appended()).noneMatch(LedgerRecord.ProgramEnded.class::isInstance);
		this.sidecar.advanceTime(idle);
		assertEnded(EndReason.IDLE);
		this.sidecar.completeAppends();
		assertThat(this.sidecar.failureOf(this.sidecar.call(2, "two")).cause()).isEqualTo(FailureCause.PROGRAM_ENDED);
	}

	// A program that is always busy ends when it reaches its lifetime, and its run is
	// cancelled.
	@Test
	void endsAProgramAfterItsLifetime() {
		Duration lifetime = Limits.ProgramLimits.DEFAULT.lifetime();
		AttemptId running = this.sidecar.call(1, "one");
		this.sidecar.advanceTime(lifetime.minus(MILLISECOND));
		assertThat(this.sidecar.appended()).isEmpty();
		this.sidecar.advanceTime(MILLISECOND);
		assertEnded(EndReason.LIFETIME);
		this.sidecar.completeAppends();
		assertThat(this.sidecar.failureOf(running).cause()).isEqualTo(FailureCause.PROGRAM_ENDED);
		assertThat(this.sidecar.cancelledRuns()).hasSize(1);
	}

	// A run without listeners is cancelled after the timeout, so that the engine does no
	// unneeded work.
	@Test
	void cancelsAnOrphanedRun() {
		this.sidecar.cancel(this.sidecar.call(1, "one"));
		this.sidecar.advanceTime(ORPHAN_TIMEOUT.minus(MILLISECOND));
		assertThat(this.sidecar.cancelledRuns()).isEmpty();
		this.sidecar.advanceTime(MILLISECOND);
		assertThat(this.sidecar.cancelledRuns()).containsExactly(this.sidecar.runs().getFirst().run());
	}

	// A caller that retries within the timeout, through another entry, gets the answer of
	// the run.
	@Test
	void keepsARunThatIsRetried() {
		this.sidecar.cancel(this.sidecar.call(1, "one"));
		this.sidecar.advanceTime(ORPHAN_TIMEOUT.minus(MILLISECOND));
		AttemptId retry = this.sidecar.call(SidecarFixture.OTHER_ENTRY, 1, "one", "");
		this.sidecar.advanceTime(MILLISECOND);
		assertThat(this.sidecar.cancelledRuns()).isEmpty();
		this.sidecar.answer(0);
		this.sidecar.completeAppends();
		assertThat(this.sidecar.answerOf(retry).number()).isEqualTo(1);
	}

	// A retry after a crash must not run before the crash is recorded in the log, since
	// it could crash the next engine too. Both attempts fail once it is.
	@Test
	void holdsARetryUntilTheCrashIsRecorded() {
		AttemptId first = this.sidecar.call(1, "one");
		this.sidecar.crash(0);
		this.sidecar.report(2);
		AttemptId retry = this.sidecar.call(SidecarFixture.OTHER_ENTRY, 1, "one", "");
		assertThat(this.sidecar.runs()).hasSize(1);
		this.sidecar.completeAppends();
		assertThat(this.sidecar.failureOf(first).cause()).isEqualTo(FailureCause.UPSTREAM_FAILED);
		assertThat(this.sidecar.failureOf(retry)).isEqualTo(this.sidecar.failureOf(first));
		this.sidecar.call(1, "one");
		assertThat(this.sidecar.runs()).hasSize(2);
	}

	// Another call without a number is not a retry, so it waits, and runs once the
	// outcome of the first is sent: after the commit, or after the timeout while the log
	// is unavailable.
	@Test
	void runsAnotherCallOnceTheCrashIsReported() {
		AttemptId first = this.sidecar.callUnnumbered("one");
		this.sidecar.crash(0);
		this.sidecar.report(2);
		this.sidecar.callUnnumbered("two");
		assertThat(this.sidecar.started()).containsExactly("one");
		this.sidecar.completeAppends();
		assertThat(this.sidecar.started()).containsExactly("one", "two");
		this.sidecar.crash(1);
		this.sidecar.report(3);
		this.sidecar.callUnnumbered("three");
		assertThat(this.sidecar.started()).containsExactly("one", "two");
		this.sidecar.advanceTime(COMMIT_TIMEOUT);
		assertThat(this.sidecar.started()).containsExactly("one", "two", "three");
		assertThat(this.sidecar.failureOf(first).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	private void assertEnded(EndReason reason) {
		assertThat(this.sidecar.appended()).contains(new LedgerRecord.ProgramEnded(SidecarFixture.PROGRAM, reason));
	}

	private void assertNotRun(AttemptId attempt, FailureCause cause) {
		CallFailure failure = this.sidecar.failureOf(attempt);
		assertThat(failure.cause()).isEqualTo(cause);
		assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
	}

}
