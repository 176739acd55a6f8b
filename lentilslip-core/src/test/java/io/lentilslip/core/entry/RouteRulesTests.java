package io.lentilslip.core.entry;

import java.time.Duration;
import java.util.Optional;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.ExecutionAuthority;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RouteRulesTests {

	private static final Duration TAKEOVER_DELAY = Duration.ofSeconds(3);

	private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration ONE_MILLISECOND = Duration.ofMillis(1);

	private static final ProgramId PROGRAM = new ProgramId(EntrySite.SELLERS, EntrySite.CHAT);

	private static final Epoch FIRST_EPOCH = Epoch.NONE.next();

	private final EntrySite site = EntrySite.ready();

	// A call must not be sent before the log holds its home's claim. Otherwise two
	// entries could use different homes.
	@Test
	void claimsAHomeBeforeItSends() {
		this.site.call(EntrySite.turn(1, "m"));
		assertThat(this.site.appended()).hasSize(1);
		assertThat(this.site.dispatches()).isEmpty();
		this.site.readAppended();
		LedgerRecord.ProgramClaimed claim = (LedgerRecord.ProgramClaimed) this.site.appended().getFirst();
		assertThat(claim.epoch()).isEqualTo(FIRST_EPOCH);
		assertThat(this.site.latestDispatch().sidecar()).isEqualTo(claim.home());
		assertThat(this.site.dispatch().authority())
			.isEqualTo(new ExecutionAuthority.ForHome(claim.home(), FIRST_EPOCH, 0));
	}

	// A concurrent claim of another entry comes first in the log. The call must go to the
	// home of that claim.
	@Test
	void followsTheClaimThatIsFirstInTheLog() {
		this.site.call(EntrySite.turn(1, "m"));
		ProcessId chosen = ((LedgerRecord.ProgramClaimed) this.site.appended().getFirst()).home();
		ProcessId other = otherThan(chosen);
		this.site.read(claim(FIRST_EPOCH, other));
		this.site.readAppended();
		assertThat(this.site.dispatches()).hasSize(1);
		assertThat(this.site.latestDispatch().sidecar()).isEqualTo(other);
	}

	// The home restarted and lost its state, so the next epoch is claimed without a
	// takeover delay.
	@Test
	void claimsTheNextEpochAfterTheHomeRestarted() {
		this.site.read(claim(FIRST_EPOCH, EntrySite.FIRST));
		this.site.link(new ProcessId(EntrySite.FIRST.vm(), new Incarnation(2)));
		this.site.call(EntrySite.turn(1, "m"));
		assertThat(this.site.appended()).hasSize(1);
		assertThat(((LedgerRecord.ProgramClaimed) this.site.appended().getFirst()).epoch())
			.isEqualTo(FIRST_EPOCH.next());
	}

	// The link to the home is lost in the middle of a stream. After the takeover delay
	// another home continues from the delivered text.
	@Test
	void takesAProgramOverAfterTheTakeoverDelay() {
		this.site.read(claim(FIRST_EPOCH, EntrySite.FIRST));
		Ticket call = this.site.call(EntrySite.turn(1, "m"));
		this.site.sendDelta(0, "Good ");
		this.site.unlink(EntrySite.FIRST);
		this.site.advanceTime(TAKEOVER_DELAY.minus(ONE_MILLISECOND));
		assertThat(this.site.appended()).isEmpty();
		this.site.advanceTime(ONE_MILLISECOND);
		assertThat(this.site.appended()).containsExactly(claim(FIRST_EPOCH.next(), EntrySite.SECOND));
		this.site.readAppended();
		assertThat(this.site.latestDispatch().sidecar()).isEqualTo(EntrySite.SECOND);
		assertThat(this.site.dispatch().deliveredText()).isEqualTo("Good ");
		this.site.sendDelta(0, "morning");
		assertThat(this.site.textFor(call)).isEqualTo("Good morning");
	}

	// The link to the home recovers within the takeover delay. The call must stay with
	// the home that has the cache.
	@Test
	void resendsToTheSameHomeAfterAReconnect() {
		this.site.read(claim(FIRST_EPOCH, EntrySite.FIRST));
		this.site.call(EntrySite.turn(1, "m"));
		this.site.unlink(EntrySite.FIRST);
		this.site.advanceTime(TAKEOVER_DELAY.minus(ONE_MILLISECOND));
		this.site.link(EntrySite.FIRST);
		this.site.advanceTime(TAKEOVER_DELAY);
		assertThat(this.site.appended()).isEmpty();
		assertThat(this.site.dispatches()).extracting(EntryEffect.Send::sidecar)
			.containsExactly(EntrySite.FIRST, EntrySite.FIRST);
	}

	// The executor of a keyed call restarted without recording an outcome. The call may
	// have run and must not run again.
	@Test
	void reportsThatTheCallOfALostExecutorMayHaveRun() {
		Ticket call = this.site.call(EntrySite.order("k", "body"));
		this.site.readAppended();
		this.site.link(new ProcessId(EntrySite.PLAIN.vm(), new Incarnation(2)));
		assertUnknown(call, FailureCause.OUTCOME_UNKNOWN);
		assertUnknown(this.site.call(EntrySite.order("k", "body")), FailureCause.OUTCOME_UNKNOWN);
		assertThat(this.site.dispatches()).hasSize(1);
		assertThat(this.site.appended()).hasSize(1);
	}

	// An idempotency key is reused with different content. Neither the recorded answer
	// nor another run would be correct.
	@Test
	void refusesAKeyWithDifferentContent() {
		this.site.call(EntrySite.order("k", "body"));
		this.site.readAppended();
		CallFailure failure = this.site.failureOf(this.site.call(EntrySite.order("k", "other")));
		assertThat(failure.cause()).isEqualTo(FailureCause.KEY_REUSED);
		assertThat(this.site.dispatches()).hasSize(1);
	}

	// Without the log, another entry may have sent a call with the same key. The refused
	// call must not be reported as not run.
	@Test
	void doesNotReportAKeyedCallAsNotRunWithoutTheLog() {
		this.site.loseLog();
		assertUnknown(this.site.call(EntrySite.order("k", "body")), FailureCause.LOG_UNAVAILABLE);
		assertThat(this.site.dispatches()).isEmpty();
	}

	// The log becomes unreachable during the append of a claim. The refused call must not
	// be reported as not run.
	@Test
	void doesNotReportAKeyedCallAsNotRunWhenItsClaimIsLost() {
		Ticket call = this.site.call(EntrySite.order("k", "body"));
		this.site.loseLog();
		this.site.advanceTime(CLAIM_TIMEOUT);
		assertUnknown(call, FailureCause.LOG_UNAVAILABLE);
		assertThat(this.site.dispatches()).isEmpty();
	}

	// A draining upstream must not receive new programs.
	@Test
	void placesNoNewProgramOnADrainingUpstream() {
		this.site.receive(EntrySite.FIRST, new LinkMessage.Draining());
		for (int number = 0; number < 20; number++) {
			this.site.call(
					EntrySite.model(Optional.of(new ProgramName("p" + number)), Optional.of(1), HistoryMode.NEW, "m"));
		}
		this.site.readAppended();
		assertThat(this.site.dispatches()).hasSize(20)
			.allSatisfy((send) -> assertThat(send.sidecar()).isEqualTo(EntrySite.SECOND));
	}

	// The home rejects a call and another one runs it. Late messages of the first attempt
	// must not reach the caller, or text could be duplicated.
	@Test
	void dropsLateMessagesOfAnAbandonedAttempt() {
		this.site.read(claim(FIRST_EPOCH, EntrySite.FIRST));
		Ticket call = this.site.call(EntrySite.turn(1, "m"));
		LinkMessage.Dispatch first = this.site.dispatch();
		this.site.finish(new CallOutcome.Failed(CallFailure.notRun(FailureCause.STOPPING, "The upstream is leaving.")));
		this.site.readAppended();
		this.site.sendDelta(0, "new");
		this.site.receive(EntrySite.FIRST, new LinkMessage.Delta(first.attempt(), 0, "late"));
		this.site.receive(EntrySite.FIRST, new LinkMessage.Finished(first.attempt(),
				new CallOutcome.Failed(CallFailure.notRun(FailureCause.INTERNAL, "late"))));
		assertThat(this.site.textFor(call)).isEqualTo("new");
		assertThat(this.site.outcomesOf(call)).isEmpty();
	}

	// A delta is missing. The attempt is cancelled, and the caller must get an error
	// rather than incomplete text.
	@Test
	void cancelsAnAttemptWithAMissingDelta() {
		this.site.read(claim(FIRST_EPOCH, EntrySite.FIRST));
		Ticket call = this.site.call(EntrySite.turn(1, "m"));
		this.site.sendDelta(0, "Good ");
		this.site.sendDelta(2, "all");
		assertThat(this.site.textFor(call)).isEqualTo("Good ");
		assertThat(this.site.isCancelled(this.site.dispatch())).isTrue();
		assertUnknown(call, FailureCause.INTERNAL);
	}

	// The sidecar does not respond. It may still report the outcome within a grace
	// period; then the call is cancelled and may have run.
	@Test
	void expiresACallAfterItsGracePeriod() {
		this.site.read(claim(FIRST_EPOCH, EntrySite.FIRST));
		Ticket call = this.site.call(EntrySite.turn(1, "m"));
		this.site.advanceTime(EntrySite.TIME_LEFT);
		assertThat(this.site.outcomesOf(call)).isEmpty();
		this.site.advanceTime(RouteRules.DEADLINE_GRACE);
		assertUnknown(call, FailureCause.DEADLINE_PASSED);
		assertThat(this.site.isCancelled(this.site.dispatch())).isTrue();
	}

	private static LedgerRecord.ProgramClaimed claim(Epoch epoch, ProcessId home) {
		return new LedgerRecord.ProgramClaimed(PROGRAM, epoch, home, Optional.empty());
	}

	private static ProcessId otherThan(ProcessId chosen) {
		return (chosen.equals(EntrySite.FIRST)) ? EntrySite.SECOND : EntrySite.FIRST;
	}

	private void assertUnknown(Ticket call, FailureCause cause) {
		CallFailure failure = this.site.failureOf(call);
		assertThat(failure.cause()).isEqualTo(cause);
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

}
