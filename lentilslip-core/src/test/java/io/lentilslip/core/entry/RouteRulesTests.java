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

	private static final Duration TAKEOVER_TIME = Duration.ofSeconds(3);

	private static final Duration CLAIM_WAIT = Duration.ofSeconds(2);

	private static final Duration MOMENT = Duration.ofMillis(1);

	private static final ProgramId PROGRAM = new ProgramId(EntrySite.SELLERS, EntrySite.CHAT);

	private static final Epoch FIRST_EPOCH = Epoch.NONE.next();

	private final EntrySite site = EntrySite.ready();

	// Nothing is sent before the log holds the claim: a home that is not in the log could
	// be one of two.
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

	// Another entry claimed the program for another sidecar, and its claim is first in
	// the log. The call goes there, and this entry's own claim changes nothing.
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

	// The sidecar was started anew: its old life is over, and with it what it held. The
	// next epoch is claimed at once.
	@Test
	void claimsTheNextEpochWhenAnotherLifeAnswers() {
		this.site.read(claim(FIRST_EPOCH, EntrySite.FIRST));
		this.site.link(new ProcessId(EntrySite.FIRST.vm(), new Incarnation(2)));
		this.site.call(EntrySite.turn(1, "m"));
		assertThat(this.site.appended()).hasSize(1);
		assertThat(((LedgerRecord.ProgramClaimed) this.site.appended().getFirst()).epoch())
			.isEqualTo(FIRST_EPOCH.next());
	}

	// The link to the home is lost in a stream. The entry waits for it to come back, as
	// the cache is there. Then it claims the next epoch elsewhere, and the call goes on
	// after the text that its caller has.
	@Test
	void takesAProgramOverWhenItsHomeStaysAway() {
		this.site.read(claim(FIRST_EPOCH, EntrySite.FIRST));
		Ticket call = this.site.call(EntrySite.turn(1, "m"));
		this.site.sendDelta(0, "Good ");
		this.site.unlink(EntrySite.FIRST);
		this.site.advanceTime(TAKEOVER_TIME.minus(MOMENT));
		assertThat(this.site.appended()).isEmpty();
		this.site.advanceTime(MOMENT);
		assertThat(this.site.appended()).containsExactly(claim(FIRST_EPOCH.next(), EntrySite.SECOND));
		this.site.readAppended();
		assertThat(this.site.latestDispatch().sidecar()).isEqualTo(EntrySite.SECOND);
		assertThat(this.site.dispatch().deliveredText()).isEqualTo("Good ");
		this.site.sendDelta(0, "morning");
		assertThat(this.site.textFor(call)).isEqualTo("Good morning");
	}

	// The same, but the link comes back in time. The same home is asked again.
	@Test
	void asksTheSameHomeAgainAfterAShortLoss() {
		this.site.read(claim(FIRST_EPOCH, EntrySite.FIRST));
		this.site.call(EntrySite.turn(1, "m"));
		this.site.unlink(EntrySite.FIRST);
		this.site.advanceTime(TAKEOVER_TIME.minus(MOMENT));
		this.site.link(EntrySite.FIRST);
		this.site.advanceTime(TAKEOVER_TIME);
		assertThat(this.site.appended()).isEmpty();
		assertThat(this.site.dispatches()).extracting(EntryEffect.Send::sidecar)
			.containsExactly(EntrySite.FIRST, EntrySite.FIRST);
	}

	// The sidecar that had claimed a keyed call was started anew, and the log has no
	// outcome. Nobody can say whether it ran, and nobody runs it again.
	@Test
	void saysThatTheCallOfALostExecutorMayHaveRun() {
		Ticket call = this.site.call(EntrySite.order("k", "body"));
		this.site.readAppended();
		this.site.link(new ProcessId(EntrySite.PLAIN.vm(), new Incarnation(2)));
		assertUnknown(call, FailureCause.OUTCOME_UNKNOWN);
		assertUnknown(this.site.call(EntrySite.order("k", "body")), FailureCause.OUTCOME_UNKNOWN);
		assertThat(this.site.dispatches()).hasSize(1);
		assertThat(this.site.appended()).hasSize(1);
	}

	// A key comes again with another body. Neither the old answer nor a second run would
	// be what the caller wants.
	@Test
	void refusesAKeyWithOtherContent() {
		this.site.call(EntrySite.order("k", "body"));
		this.site.readAppended();
		CallFailure failure = this.site.failureOf(this.site.call(EntrySite.order("k", "other")));
		assertThat(failure.cause()).isEqualTo(FailureCause.KEY_REUSED);
		assertThat(this.site.dispatches()).hasSize(1);
	}

	// The log is down, so nobody knows whether another entry sent this key before. The
	// call is not sent, and yet it may have run.
	@Test
	void saysNotRunOfNoKeyedCallWithoutTheLog() {
		this.site.loseLog();
		assertUnknown(this.site.call(EntrySite.order("k", "body")), FailureCause.LOG_UNAVAILABLE);
		assertThat(this.site.dispatches()).isEmpty();
	}

	// The same, but the log goes down when the claim is on its way to it.
	@Test
	void saysNotRunOfNoKeyedCallWhoseClaimIsLost() {
		Ticket call = this.site.call(EntrySite.order("k", "body"));
		this.site.loseLog();
		this.site.advanceTime(CLAIM_WAIT);
		assertUnknown(call, FailureCause.LOG_UNAVAILABLE);
		assertThat(this.site.dispatches()).isEmpty();
	}

	// One of two engines is leaving. However many programs come, all go to the other.
	@Test
	void givesALeavingUpstreamNoNewProgram() {
		this.site.receive(EntrySite.FIRST, new LinkMessage.Draining());
		for (int number = 0; number < 20; number++) {
			this.site.call(
					EntrySite.model(Optional.of(new ProgramName("p" + number)), Optional.of(1), HistoryMode.NEW, "m"));
		}
		this.site.readAppended();
		assertThat(this.site.dispatches()).hasSize(20)
			.allSatisfy((send) -> assertThat(send.sidecar()).isEqualTo(EntrySite.SECOND));
	}

	// The home hands a call back and another one runs it. What the first one still says
	// of its attempt reaches nobody: the text would be there twice.
	@Test
	void dropsWhatComesLateOfAnAttemptGivenUp() {
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

	// A part of the answer is missing. The attempt is cancelled, and the caller gets an
	// error rather than a text with a gap.
	@Test
	void endsAnAttemptWithAGapInItsParts() {
		this.site.read(claim(FIRST_EPOCH, EntrySite.FIRST));
		Ticket call = this.site.call(EntrySite.turn(1, "m"));
		this.site.sendDelta(0, "Good ");
		this.site.sendDelta(2, "all");
		assertThat(this.site.textFor(call)).isEqualTo("Good ");
		assertThat(this.site.isCancelled(this.site.dispatch())).isTrue();
		assertUnknown(call, FailureCause.INTERNAL);
	}

	// The sidecar is silent. It has a moment longer than the deadline, as it may know
	// that the call did not run; then the call is cancelled and may have run.
	@Test
	void endsACallAfterItsDeadline() {
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
