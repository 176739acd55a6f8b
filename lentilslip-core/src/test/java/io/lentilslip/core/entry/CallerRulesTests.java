package io.lentilslip.core.entry;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.call.ServiceRequest;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.ServiceName;
import io.lentilslip.core.ledger.EndReason;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.Turn;
import io.lentilslip.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CallerRulesTests {

	private static final Submission PLAIN = EntrySite.model(Optional.empty(), Optional.empty(), HistoryMode.WHOLE, "m");

	private static final Optional<ProgramName> NO_PROGRAM = Optional.empty();

	private final EntrySite site = EntrySite.ready();

	@Test
	void refusesAnUnknownKey() {
		Submission unknown = new Submission(Digest.of("stranger"), NO_PROGRAM, NO_PROGRAM, Optional.empty(),
				Optional.empty(), Optional.empty(), PLAIN.payload());
		assertRefused(this.site, unknown, FailureCause.UNAUTHORIZED);
	}

	@Test
	void refusesCallsUntilItHasAConfiguration() {
		EntrySite unconfigured = new EntrySite();
		assertRefused(unconfigured, PLAIN, FailureCause.NOT_READY);
		unconfigured.configure();
		unconfigured.link(EntrySite.FIRST);
		unconfigured.call(PLAIN);
		assertThat(unconfigured.dispatches()).hasSize(1);
	}

	// A call completes while the entry shuts down. New calls are refused as not run, with
	// a retry delay for another entry.
	@Test
	void refusesNewCallsDuringShutdown() {
		Ticket running = this.site.call(PLAIN);
		this.site.stop();
		assertRefused(this.site, PLAIN, FailureCause.STOPPING);
		CallOutcome answer = new CallOutcome.Completed(new CallResponse.FromModel("{}", "stop", Usage.NONE),
				Durability.NOT_KEPT, 0);
		this.site.finish(answer);
		assertThat(this.site.outcomesOf(running)).containsExactly(answer);
	}

	// An earlier attempt of a keyed call may be in the unread part of the log, so the
	// entry must read on before it refuses the call as not run.
	@Test
	void readsTheLogBeforeItRefusesAKeyedCallAsNotRun() {
		this.site.stop();
		Ticket call = this.site.call(EntrySite.order("k", "body"));
		assertThat(this.site.outcomesOf(call)).isEmpty();
		this.site.catchUp();
		this.site.advanceTime(Duration.ofMillis(50));
		assertNotRun(this.site.failureOf(call), FailureCause.STOPPING);
	}

	@Test
	void refusesANumberWithoutAProgram() {
		assertRefused(this.site, EntrySite.model(NO_PROGRAM, Optional.of(1), HistoryMode.WHOLE, "m"),
				FailureCause.INVALID);
	}

	@Test
	void refusesAParentWithoutAProgram() {
		assertRefused(this.site, withParent(NO_PROGRAM), FailureCause.INVALID);
	}

	@Test
	void refusesAProgramThatIsItsOwnParent() {
		assertRefused(this.site, withParent(Optional.of(EntrySite.CHAT)), FailureCause.INVALID);
	}

	private static Submission withParent(Optional<ProgramName> program) {
		return new Submission(PLAIN.caller(), program, Optional.of(EntrySite.CHAT), Optional.empty(), Optional.empty(),
				Optional.empty(), PLAIN.payload());
	}

	@Test
	void refusesAStoredHistoryCallWithoutANumber() {
		assertRefused(this.site, EntrySite.model(Optional.of(EntrySite.CHAT), Optional.empty(), HistoryMode.NEW, "m"),
				FailureCause.INVALID);
	}

	@Test
	void refusesAnUnknownModel() {
		assertRefused(this.site, withPayload(new Payload.ForModel(new ModelName("other"), HistoryMode.WHOLE,
				List.of("m"), Optional.empty(), "{}", false)), FailureCause.NOT_FOUND);
	}

	@Test
	void refusesAnUnknownService() {
		assertRefused(this.site, withPayload(new Payload.ForService(new ServiceName("other"),
				new ServiceRequest("GET", "/", List.of(), Body.EMPTY))), FailureCause.NOT_FOUND);
	}

	private static Submission withPayload(Payload payload) {
		return new Submission(PLAIN.caller(), NO_PROGRAM, NO_PROGRAM, Optional.empty(), Optional.empty(),
				Optional.empty(), payload);
	}

	@Test
	void refusesMoreMessagesThanAProgramMayHave() {
		String[] maximum = Collections.nCopies(EntrySite.MAX_MESSAGES, "m").toArray(String[]::new);
		this.site.call(EntrySite.model(NO_PROGRAM, Optional.empty(), HistoryMode.WHOLE, maximum));
		assertThat(this.site.dispatches()).hasSize(1);
		String[] tooMany = Collections.nCopies(EntrySite.MAX_MESSAGES + 1, "m").toArray(String[]::new);
		assertRefused(this.site, EntrySite.model(NO_PROGRAM, Optional.empty(), HistoryMode.WHOLE, tooMany),
				FailureCause.TOO_LARGE);
	}

	// A rule assigns a program to a group whoever calls it. With the caller's group,
	// another group would pay and the program would exist twice.
	@Test
	void assignsAProgramToTheGroupOfItsRule() {
		ProgramName offer = new ProgramName("offer-7");
		this.site.call(EntrySite.model(Optional.of(offer), Optional.of(1), HistoryMode.NEW, "m"));
		this.site.readAppended();
		assertThat(this.site.dispatch().call().group()).isEqualTo(EntrySite.BUYERS);
		assertThat(this.site.dispatch().call().programCall().orElseThrow().program())
			.isEqualTo(new ProgramId(EntrySite.BUYERS, offer));
	}

	// A program ended after its first call. A later call has not run, but a retry of the
	// first call may have.
	@Test
	void refusesCallsOfAnEndedProgram() {
		ProgramId program = new ProgramId(EntrySite.SELLERS, EntrySite.CHAT);
		Epoch epoch = Epoch.NONE.next();
		this.site.read(new LedgerRecord.ProgramClaimed(program, epoch, EntrySite.FIRST, Optional.empty()));
		this.site.read(new LedgerRecord.TurnCommitted(program, epoch, new Turn(1, Digest.of("m"), Optional.empty(),
				List.of("m"), new CallResponse.FromModel("{}", "stop", Usage.NONE)), Optional.empty()));
		this.site.read(new LedgerRecord.ProgramEnded(program, EndReason.IDLE));
		assertRefused(this.site, EntrySite.turn(2, "n"), FailureCause.PROGRAM_ENDED);
		CallFailure retried = this.site.failureOf(this.site.call(EntrySite.turn(1, "m")));
		assertThat(retried.cause()).isEqualTo(FailureCause.PROGRAM_ENDED);
		assertThat(retried.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	private static void assertRefused(EntrySite site, Submission submission, FailureCause cause) {
		int before = site.dispatches().size();
		CallFailure failure = site.failureOf(site.call(submission));
		assertNotRun(failure, cause);
		assertThat(site.dispatches()).hasSize(before);
		assertThat(site.appended()).isEmpty();
	}

	private static void assertNotRun(CallFailure failure, FailureCause cause) {
		assertThat(failure.cause()).isEqualTo(cause);
		assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(failure.retryAfter().isPresent()).isEqualTo(cause.isTransient());
	}

}
