package io.lentilslip.verification.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.call.ProgramCall;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.ExecutionAuthority;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.reducer.Step;
import io.lentilslip.core.role.AppendResult;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.core.role.NodeEvent;
import io.lentilslip.core.sidecar.RunId;
import io.lentilslip.core.sidecar.RunResult;
import io.lentilslip.core.sidecar.SidecarEffect;
import io.lentilslip.core.sidecar.SidecarEvent;
import io.lentilslip.core.sidecar.SidecarReducer;
import io.lentilslip.core.sidecar.SidecarState;

/**
 * Measures what a sidecar holds and what its decisions cost, by the reducer alone.
 * Stateless and safe for use by several threads.
 */
final class SidecarSlopes {

	private static final int ANSWER = 1564;

	private static final int ENTRIES = 380;

	private static final int HOMES = 88;

	private static final int TURNS = 100;

	private SidecarSlopes() {
	}

	static void measure(Meter meter) {
		meter.heap("sidecar-heap-by-entries", (size) -> Driver.linkedTo(size).state, 10, 100, ENTRIES);
		meter.heap("sidecar-heap-by-homes", (size) -> Driver.withHomes(size).state, 10, 40, HOMES, 400);
		meter.heap("sidecar-heap-by-turns", (size) -> Driver.withTurns(size, 1).state, 10, 50, 200, 520);
		meter.heap("sidecar-heap-by-answer-bytes-of-100-turns", (size) -> Driver.withTurns(TURNS, size).state, 100,
				1000, 4000, 16_000);
		Driver full = Driver.withHomes(HOMES);
		meter.time("sidecar-call-by-deltas", (size) -> () -> full.copy().turn(0, 2, size, ANSWER), 0, 400, 4000);
		meter.time("sidecar-call-by-calls", (size) -> () -> full.copy().turns(size), 40, 160, 480);
		meter.time("sidecar-tick-by-ticks", (size) -> () -> full.copy().ticks(size), 100, 400, 1600);
	}

	/**
	 * A sidecar that gets its events here. Not safe for use by several threads.
	 */
	static final class Driver {

		private static final SidecarReducer REDUCER = new SidecarReducer();

		private static final Duration STEP = Duration.ofMillis(1);

		private static final Duration DEADLINE = Duration.ofMinutes(2);

		private static final ProcessId SELF = SampleSite.sidecar(0);

		private SidecarState state;

		private Instant now = SampleSite.START;

		private long nextOffset;

		private long nextAttempt;

		private Driver(SidecarState state) {
			this.state = state;
		}

		static Driver linkedTo(int entries) {
			Driver driver = new Driver(SidecarState.of(SELF, SampleSite.ZONE));
			driver.apply(new SidecarEvent.NodeEventReceived(
					new NodeEvent.ConfigurationAccepted(1, SampleSite.configuration(1, 1), driver.now)));
			driver.apply(new SidecarEvent.LogEventReceived(new LogEvent.CaughtUp(0, driver.now)));
			driver.apply(new SidecarEvent.UpstreamLoadReceived(1, 0, 0, 0, driver.now));
			for (int number = 0; number < entries; number++) {
				driver.apply(new SidecarEvent.EntryConnected(entry(number), driver.now));
			}
			return driver;
		}

		private static ProcessId entry(int number) {
			return new ProcessId(new VmName("entry-%011d".formatted(number)), new Incarnation(1 + number));
		}

		static Driver withHomes(int homes) {
			Driver driver = linkedTo(ENTRIES);
			for (int program = 0; program < homes; program++) {
				driver.claim(program);
				driver.turn(program, 1, 1, ANSWER);
			}
			return driver;
		}

		static Driver withTurns(int turns, int answerLength) {
			Driver driver = linkedTo(1);
			driver.claim(0);
			for (int number = 1; number <= turns; number++) {
				driver.turn(0, number, 1, answerLength);
			}
			return driver;
		}

		Driver copy() {
			Driver copy = new Driver(this.state);
			copy.now = this.now;
			copy.nextOffset = this.nextOffset;
			copy.nextAttempt = this.nextAttempt;
			return copy;
		}

		private List<SidecarEffect> apply(SidecarEvent event) {
			Step<SidecarState, SidecarEffect> step = REDUCER.apply(this.state, event);
			this.state = step.state();
			return step.effects();
		}

		private void claim(int program) {
			read(new LedgerRecord.ProgramClaimed(SampleSite.program(0, program), Epoch.NONE.next(), SELF,
					Optional.empty()));
		}

		private List<SidecarEffect> read(LedgerRecord record) {
			return apply(new SidecarEvent.LogEventReceived(
					new LogEvent.BatchRead(this.nextOffset++, SampleSite.START, List.of(record), this.now)));
		}

		void turns(int count) {
			for (int number = 0; number < count; number++) {
				turn(number % HOMES, 2 + number / HOMES, 0, ANSWER);
			}
		}

		// Ticks between which the load changes, so that each sends a report to all
		// entries.
		void ticks(int count) {
			for (int number = 0; number < count; number++) {
				this.now = this.now.plus(Duration.ofMillis(100));
				apply(new SidecarEvent.UpstreamLoadReceived(1, 0, 0, 1 + number, this.now));
				apply(new SidecarEvent.NodeEventReceived(new NodeEvent.Ticked(this.now, number)));
			}
		}

		void turn(int program, int number, int deltas, int answerLength) {
			this.now = this.now.plus(STEP);
			ProcessId entry = entry(0);
			AttemptId attempt = new AttemptId(entry.incarnation(), this.nextAttempt++);
			LinkMessage.Dispatch dispatch = new LinkMessage.Dispatch(attempt,
					request(SampleSite.program(0, program), number),
					new ExecutionAuthority.ForHome(SELF, Epoch.NONE.next(), program), DEADLINE, "");
			RunId run = generated(apply(new SidecarEvent.EntryMessageReceived(entry, dispatch, this.now)));
			apply(new SidecarEvent.RunStarted(run, this.now));
			for (int delta = 0; delta < deltas; delta++) {
				apply(new SidecarEvent.RunProgressed(run, "word", this.now));
			}
			RunResult result = new RunResult.Generated(
					SampleSite.message("assistant", SampleSite.text(number, answerLength)), "stop",
					new Usage(100, 0, 1));
			commit(apply(new SidecarEvent.RunEnded(run, result, this.now)));
		}

		private static CallRequest.ForModel request(ProgramId program, int number) {
			return new CallRequest.ForModel(program.group(),
					Optional.of(new ProgramCall(program, Optional.empty(), Optional.of(number))), Optional.empty(),
					Digest.of("call " + number), SampleSite.MODEL, HistoryMode.NEW,
					List.of(SampleSite.message("user", SampleSite.text(number, 400))), 512, "{}", true);
		}

		private static RunId generated(List<SidecarEffect> effects) {
			return effects.stream()
				.filter(SidecarEffect.Generate.class::isInstance)
				.map(SidecarEffect.Generate.class::cast)
				.map(SidecarEffect.Generate::run)
				.findFirst()
				.orElseThrow(() -> new IllegalStateException("nothing was generated: " + effects));
		}

		private void commit(List<SidecarEffect> effects) {
			NodeEffect.AppendRecord append = Appends.in(effects.stream()
				.filter(SidecarEffect.ForNode.class::isInstance)
				.map((effect) -> ((SidecarEffect.ForNode) effect).effect())
				.toList());
			apply(new SidecarEvent.LogEventReceived(
					new LogEvent.AppendEnded(append.append(), AppendResult.APPENDED, this.now)));
			List<SidecarEffect> end = read(append.record());
			if (end.stream().noneMatch(Driver::isFinished)) {
				throw new IllegalStateException("the call did not end: " + end);
			}
		}

		private static boolean isFinished(SidecarEffect effect) {
			return effect instanceof SidecarEffect.Send send && send.message() instanceof LinkMessage.Finished;
		}

	}

}
