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

	private static final Duration ORDER_WAIT = Duration.ofSeconds(5);

	private static final Duration OUTCOME_WAIT = Duration.ofSeconds(1);

	private static final Duration ORPHAN_GRACE = Duration.ofSeconds(5);

	private static final Duration MOMENT = Duration.ofMillis(1);

	private final SidecarFixture sidecar = SidecarFixture.withHome();

	// The caller's first message is larger than a record of the log may be. Run, its turn
	// could be appended never, the answer would stay pending, and the next eight calls
	// with it. It is refused before it runs, as not run, and the program goes on.
	@Test
	void refusesATurnThatNoRecordCanHold() {
		AttemptId large = this.sidecar.callUnnumbered("x".repeat(1 << 20));
		assertNotRun(large, FailureCause.TOO_LARGE);
		this.sidecar.callUnnumbered("small");
		assertThat(this.sidecar.started()).containsExactly("small");
	}

	// A later file of the operators removes a group while a program of it pauses between
	// two turns. Nobody can call it any more. Its home ends it through the log, so that
	// every process knows and the engine holds nothing for it.
	@Test
	void endsProgramsWhoseGroupIsRemoved() {
		this.sidecar.callUnnumbered("hello");
		this.sidecar.accept(2, Configuration.ofSite(new PolicyName("site")).with(SidecarFixture.ZONE).build());
		assertEnded(EndReason.GROUP_REMOVED);
	}

	// The engine refuses every call of one group at once, without work. If the group had
	// to pay what its calls were expected to cost, the other group would be served first
	// for as long as that lasts, though nothing was received.
	@Test
	void chargesNothingForARunThatDidNotRun() {
		this.sidecar.callUnnumbered("hello");
		long charged = this.sidecar.attained();
		this.sidecar.end(0, new RunResult.Rejected(400, "no such tool"));
		assertThat(charged).isPositive();
		assertThat(this.sidecar.attained()).isZero();
	}

	// Call 2 overtakes call 1 on its way through another entry. It runs after call 1, on
	// the history with that turn.
	@Test
	void letsACallWaitForTheOneBeforeIt() {
		this.sidecar.call(SidecarFixture.OTHER_ENTRY, 2, "two", "");
		this.sidecar.call(1, "one");
		assertThat(this.sidecar.started()).containsExactly("one");
		this.sidecar.answer(0);
		assertThat(this.sidecar.started()).containsExactly("one", "two");
		assertThat(this.sidecar.runs().get(1).request().messages()).hasSize(3).startsWith("one");
	}

	// Call 1 never comes. Call 2 waits for it as long as it may, and is refused as not
	// run: run on the shorter history it would break the conversation.
	@Test
	void refusesACallWhoseForerunnerNeverComes() {
		AttemptId second = this.sidecar.call(2, "two");
		this.sidecar.advanceTime(ORDER_WAIT.minus(MOMENT));
		assertThat(this.sidecar.outcomeOf(second)).isEmpty();
		this.sidecar.advanceTime(MOMENT);
		assertNotRun(second, FailureCause.OUT_OF_ORDER);
		this.sidecar.call(1, "one");
		this.sidecar.answer(0);
		assertThat(this.sidecar.started()).containsExactly("one");
	}

	// Two different calls come with one number. The first one has it; the second one is
	// told so, while the first runs and after it, and never runs.
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

	// The answer is lost on its way, and the caller asks again. It gets the same answer
	// out of the record, and the engine is not asked.
	@Test
	void answersAResendFromTheRecord() {
		AttemptId first = this.sidecar.call(1, "one");
		this.sidecar.answer(0);
		assertThat(this.sidecar.outcomeOf(first)).isEmpty();
		this.sidecar.completeAppends();
		AttemptId resend = this.sidecar.call(SidecarFixture.OTHER_ENTRY, 1, "one", "");
		assertThat(this.sidecar.answerOf(resend)).isEqualTo(this.sidecar.answerOf(first));
		assertThat(this.sidecar.answerOf(resend).durability()).isEqualTo(Durability.COMMITTED);
		assertThat(this.sidecar.runs()).hasSize(1);
	}

	// The caller loses its stream and asks again while the engine generates: once with
	// nothing, once with a part in hand. Each gets what it lacks, and no token twice.
	@Test
	void joinsAResendToTheRunUnderWay() {
		AttemptId first = this.sidecar.call(1, "one");
		this.sidecar.progress(0, "Good ");
		this.sidecar.progress(0, "morning");
		AttemptId anew = this.sidecar.call(SidecarFixture.OTHER_ENTRY, 1, "one", "");
		AttemptId partly = this.sidecar.call(SidecarFixture.OTHER_ENTRY, 1, "one", "Good mor");
		this.sidecar.progress(0, ", all");
		assertThat(this.sidecar.textFor(first)).isEqualTo("Good morning, all");
		assertThat(this.sidecar.textFor(anew)).isEqualTo("Good morning, all");
		assertThat(this.sidecar.textFor(partly)).isEqualTo("ning, all");
		this.sidecar.answer(0);
		this.sidecar.completeAppends();
		assertThat(List.of(first, anew, partly)).allSatisfy(
				(attempt) -> assertThat(this.sidecar.answerOf(attempt)).isEqualTo(this.sidecar.answerOf(first)));
		assertThat(this.sidecar.runs()).hasSize(1);
	}

	// The log is down when the turn is done. After the wait the caller gets its answer,
	// marked pending. When the log is back the turn goes there, and a resend is told that
	// it is committed.
	@Test
	void answersAsPendingWhileTheLogIsDown() {
		AttemptId first = this.sidecar.call(1, "one");
		this.sidecar.answer(0);
		this.sidecar.endAppend(AppendResult.NOT_APPENDED);
		this.sidecar.advanceTime(OUTCOME_WAIT.minus(MOMENT));
		assertThat(this.sidecar.outcomeOf(first)).isEmpty();
		this.sidecar.endAppend(AppendResult.NOT_APPENDED);
		this.sidecar.advanceTime(MOMENT);
		assertThat(this.sidecar.answerOf(first).durability()).isEqualTo(Durability.PENDING);
		assertThat(this.sidecar.answerOf(this.sidecar.call(1, "one")).durability()).isEqualTo(Durability.PENDING);
		this.sidecar.advanceTime(OUTCOME_WAIT);
		this.sidecar.completeAppends();
		assertThat(this.sidecar.answerOf(this.sidecar.call(1, "one")).durability()).isEqualTo(Durability.COMMITTED);
		assertThat(this.sidecar.runs()).hasSize(1);
	}

	// Another sidecar becomes the home while this one runs a call and holds another one
	// back. The run is broken off and may have run; the other call surely did not. What
	// the engine still says adds no turn, and a call of the old epoch is turned away.
	@Test
	void yieldsToALaterEpoch() {
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

	// A caller forgets its program. It ends once nothing was asked of it for the idle
	// time since its last turn, and not while a call of it runs.
	@Test
	void endsAnIdleProgram() {
		Duration idle = Limits.ProgramLimits.DEFAULT.idleTime();
		this.sidecar.call(1, "one");
		this.sidecar.advanceTime(idle);
		assertThat(this.sidecar.appended()).isEmpty();
		this.sidecar.answer(0);
		this.sidecar.completeAppends();
		this.sidecar.advanceTime(idle.minus(MOMENT));
		assertThat(this.sidecar.appended()).noneMatch(LedgerRecord.ProgramEnded.class::isInstance);
		this.sidecar.advanceTime(idle);
		assertEnded(EndReason.IDLE);
		this.sidecar.completeAppends();
		assertThat(this.sidecar.failureOf(this.sidecar.call(2, "two")).cause()).isEqualTo(FailureCause.PROGRAM_ENDED);
	}

	// An agent loops for ever. However busy it is, its program ends when its time is
	// over, and the run under way with it.
	@Test
	void endsAProgramAfterItsLifetime() {
		Duration lifetime = Limits.ProgramLimits.DEFAULT.lifetime();
		AttemptId running = this.sidecar.call(1, "one");
		this.sidecar.advanceTime(lifetime.minus(MOMENT));
		assertThat(this.sidecar.appended()).isEmpty();
		this.sidecar.advanceTime(MOMENT);
		assertEnded(EndReason.LIFETIME);
		this.sidecar.completeAppends();
		assertThat(this.sidecar.failureOf(running).cause()).isEqualTo(FailureCause.PROGRAM_ENDED);
		assertThat(this.sidecar.cancelledRuns()).hasSize(1);
	}

	// The caller of a stream leaves and does not come back. The run goes on for the
	// grace, and is stopped then, so that the engine works for nobody no longer.
	@Test
	void stopsARunThatNobodyAsksForAgain() {
		this.sidecar.cancel(this.sidecar.call(1, "one"));
		this.sidecar.advanceTime(ORPHAN_GRACE.minus(MOMENT));
		assertThat(this.sidecar.cancelledRuns()).isEmpty();
		this.sidecar.advanceTime(MOMENT);
		assertThat(this.sidecar.cancelledRuns()).containsExactly(this.sidecar.runs().getFirst().run());
	}

	// The same, but the caller comes back in time through another entry, and gets the
	// answer of the run that it left.
	@Test
	void keepsARunThatIsAskedForAgain() {
		this.sidecar.cancel(this.sidecar.call(1, "one"));
		this.sidecar.advanceTime(ORPHAN_GRACE.minus(MOMENT));
		AttemptId resend = this.sidecar.call(SidecarFixture.OTHER_ENTRY, 1, "one", "");
		this.sidecar.advanceTime(MOMENT);
		assertThat(this.sidecar.cancelledRuns()).isEmpty();
		this.sidecar.answer(0);
		this.sidecar.completeAppends();
		assertThat(this.sidecar.answerOf(resend).number()).isEqualTo(1);
	}

	// The engine crashes under a call and is back before the log holds the blame; the
	// caller, whose entry was lost, asks again meanwhile. Both attempts are told once the
	// blame is in the log, and nothing runs before that: it could crash the next one too.
	@Test
	void holdsAResendUntilTheBlameIsInTheLog() {
		AttemptId first = this.sidecar.call(1, "one");
		this.sidecar.crash(0);
		this.sidecar.report(2);
		AttemptId resend = this.sidecar.call(SidecarFixture.OTHER_ENTRY, 1, "one", "");
		assertThat(this.sidecar.runs()).hasSize(1);
		this.sidecar.completeAppends();
		assertThat(this.sidecar.failureOf(first).cause()).isEqualTo(FailureCause.UPSTREAM_FAILED);
		assertThat(this.sidecar.failureOf(resend)).isEqualTo(this.sidecar.failureOf(first));
		this.sidecar.call(1, "one");
		assertThat(this.sidecar.runs()).hasSize(2);
	}

	// The same, but another call without a number comes meanwhile. It is no resend, so it
	// waits, and runs as soon as the end of the first one is told, whether by the log or,
	// while the log is down, after the wait.
	@Test
	void runsAnotherCallOnceTheBlameIsTold() {
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
		this.sidecar.advanceTime(OUTCOME_WAIT);
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
