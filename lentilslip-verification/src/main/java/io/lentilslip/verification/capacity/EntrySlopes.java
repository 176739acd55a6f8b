package io.lentilslip.verification.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.entry.EntryEffect;
import io.lentilslip.core.entry.EntryEvent;
import io.lentilslip.core.entry.EntryReducer;
import io.lentilslip.core.entry.EntryState;
import io.lentilslip.core.entry.Payload;
import io.lentilslip.core.entry.Submission;
import io.lentilslip.core.entry.Ticket;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.reducer.Step;
import io.lentilslip.core.role.AppendResult;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.core.role.NodeEvent;

/**
 * Measures what an entry holds and what its decisions cost, by the reducer alone.
 * Stateless and safe for use by several threads.
 */
final class EntrySlopes {

	private static final int RUNNERS = 1700;

	private static final int PROGRAMS = 20_000;

	private static final int ANSWER = 1564;

	private static final int TOKEN = 4;

	private EntrySlopes() {
	}

	static void measure(Meter meter) {
		meter.heap("configuration-heap-by-groups", (size) -> SampleSite.configuration(size, 1), 10, 100, 500, 1500);
		meter.heap("configuration-heap-by-upstreams", (size) -> SampleSite.configuration(1, size), 10, 100, 400,
				RUNNERS);
		meter.heap("entry-heap-by-sidecars", (size) -> Driver.linkedTo(size).state, 10, 100, 400, RUNNERS);
		Driver full = Driver.linkedTo(RUNNERS);
		full.claimPrograms(PROGRAMS);
		meter.time("entry-call-by-deltas", (size) -> () -> full.copy().call(0, size), 0, 400, 4000);
		meter.time("entry-call-by-calls", (size) -> () -> full.copy().calls(size, 0), 100, 400, 1600);
		meter.time("entry-new-program-by-calls", (size) -> () -> full.copy().calls(size, PROGRAMS), 100, 400, 1600);
		meter.time("entry-load-report-by-reports", (size) -> () -> full.copy().reports(size), 1000, 4000, 16_000);
		meter.time("entry-tick-by-ticks", (size) -> () -> full.copy().ticks(size), 100, 400, 1600);
		for (int peers : new int[] { 10, 100, 400 }) {
			Driver smaller = Driver.linkedTo(peers);
			smaller.claimPrograms(PROGRAMS);
			meter.time("entry-call-of-%d-sidecars-by-calls".formatted(peers),
					(size) -> () -> smaller.copy().calls(size, 0), 100, 400, 1600);
		}
	}

	/**
	 * An entry that gets its events here. Not safe for use by several threads.
	 */
	static final class Driver {

		private static final EntryReducer REDUCER = new EntryReducer();

		private static final Duration STEP = Duration.ofMillis(1);

		private final int sidecars;

		private EntryState state;

		private Instant now = SampleSite.START;

		private long nextOffset;

		private long nextTicket;

		private Driver(int sidecars, EntryState state) {
			this.sidecars = sidecars;
			this.state = state;
		}

		static Driver linkedTo(int sidecars) {
			Driver driver = new Driver(sidecars, EntryState.of(SampleSite.ENTRY, SampleSite.ZONE));
			driver.apply(new EntryEvent.NodeEventReceived(
					new NodeEvent.ConfigurationAccepted(1, SampleSite.configuration(1, sidecars), driver.now)));
			driver.apply(new EntryEvent.LogEventReceived(new LogEvent.CaughtUp(0, driver.now)));
			for (int number = 0; number < sidecars; number++) {
				ProcessId sidecar = SampleSite.sidecar(number);
				driver.apply(new EntryEvent.SidecarLinked(sidecar.vm(), sidecar, driver.now));
				driver.reported(sidecar, number);
			}
			return driver;
		}

		Driver copy() {
			Driver copy = new Driver(this.sidecars, this.state);
			copy.now = this.now;
			copy.nextOffset = this.nextOffset;
			copy.nextTicket = this.nextTicket;
			return copy;
		}

		void claimPrograms(int programs) {
			for (int number = 0; number < programs; number++) {
				// Upstreams serve one model each in turn; homes must serve the one asked.
				int home = number * SampleSite.MODELS % this.sidecars / SampleSite.MODELS * SampleSite.MODELS;
				read(new LedgerRecord.ProgramClaimed(SampleSite.program(0, number), Epoch.NONE.next(),
						SampleSite.sidecar(home), Optional.empty()));
			}
		}

		private void read(LedgerRecord record) {
			apply(new EntryEvent.LogEventReceived(
					new LogEvent.BatchRead(this.nextOffset++, SampleSite.START, List.of(record), this.now)));
		}

		private List<EntryEffect> apply(EntryEvent event) {
			Step<EntryState, EntryEffect> step = REDUCER.apply(this.state, event);
			this.state = step.state();
			return step.effects();
		}

		private void reported(ProcessId sidecar, int running) {
			apply(new EntryEvent.SidecarMessageReceived(sidecar,
					new LinkMessage.LoadReport(0, running % 128, 128, running, List.of()), this.now));
		}

		void reports(int count) {
			for (int number = 0; number < count; number++) {
				reported(SampleSite.sidecar(number % this.sidecars), number);
			}
		}

		void ticks(int count) {
			for (int number = 0; number < count; number++) {
				this.now = this.now.plus(Duration.ofMillis(100));
				apply(new EntryEvent.NodeEventReceived(new NodeEvent.Ticked(this.now, number)));
			}
		}

		void calls(int count, int firstProgram) {
			for (int number = 0; number < count; number++) {
				call(firstProgram + number, 0);
			}
		}

		void call(int program, int deltas) {
			Ticket ticket = new Ticket(this.nextTicket++);
			this.now = this.now.plus(STEP);
			List<EntryEffect> effects = apply(
					new EntryEvent.CallArrived(ticket, submission(SampleSite.program(0, program)), this.now, program));
			EntryEffect.Send sent = dispatched(effects).orElseGet(() -> afterClaim(effects));
			AttemptId attempt = ((LinkMessage.Dispatch) sent.message()).attempt();
			hear(sent.sidecar(), new LinkMessage.Accepted(attempt));
			hear(sent.sidecar(), new LinkMessage.Started(attempt, STEP));
			for (int number = 0; number < deltas; number++) {
				hear(sent.sidecar(), new LinkMessage.Delta(attempt, number, "word".substring(0, TOKEN)));
			}
			List<EntryEffect> end = hear(sent.sidecar(), new LinkMessage.Finished(attempt,
					new CallOutcome.Completed(SampleAnswer.VALUE, Durability.COMMITTED, 1)));
			if (end.stream().noneMatch(EntryEffect.Complete.class::isInstance)) {
				throw new IllegalStateException("the call did not end: " + end);
			}
		}

		private static Submission submission(ProgramId program) {
			return new Submission(SampleSite.callerKey(0), Optional.of(program.name()), Optional.empty(),
					Optional.of(1), Optional.empty(), Optional.empty(), new Payload.ForModel(SampleSite.MODEL,
							HistoryMode.NEW, SampleAnswer.QUESTION, Optional.of(512), "{}", true));
		}

		private List<EntryEffect> hear(ProcessId sidecar, LinkMessage.FromSidecar message) {
			return apply(new EntryEvent.SidecarMessageReceived(sidecar, message, this.now));
		}

		private static Optional<EntryEffect.Send> dispatched(List<EntryEffect> effects) {
			return effects.stream()
				.filter(EntryEffect.Send.class::isInstance)
				.map(EntryEffect.Send.class::cast)
				.filter((send) -> send.message() instanceof LinkMessage.Dispatch)
				.findFirst();
		}

		private EntryEffect.Send afterClaim(List<EntryEffect> effects) {
			NodeEffect.AppendRecord append = Appends.in(nodeEffects(effects));
			apply(new EntryEvent.LogEventReceived(
					new LogEvent.AppendEnded(append.append(), AppendResult.APPENDED, this.now)));
			List<EntryEffect> decided = apply(new EntryEvent.LogEventReceived(
					new LogEvent.BatchRead(this.nextOffset++, SampleSite.START, List.of(append.record()), this.now)));
			return dispatched(decided).orElseThrow(() -> new IllegalStateException("nothing was sent: " + decided));
		}

		private static List<NodeEffect> nodeEffects(List<EntryEffect> effects) {
			List<NodeEffect> found = new ArrayList<>();
			for (EntryEffect effect : effects) {
				if (effect instanceof EntryEffect.ForNode node) {
					found.add(node.effect());
				}
			}
			return found;
		}

	}

	/**
	 * The text that all calls share, made once.
	 */
	private static final class SampleAnswer {

		private static final CallResponse VALUE = SampleSite.answer(1, ANSWER);

		private static final List<String> QUESTION = List.of(SampleSite.message("user", SampleSite.text(2, 400)));

		private SampleAnswer() {
		}

	}

}
