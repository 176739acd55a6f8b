package io.lentilslip.core.sidecar;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.call.ProgramCall;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.configuration.GroupPolicy;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.configuration.ModelPolicy;
import io.lentilslip.core.configuration.PolicyName;
import io.lentilslip.core.configuration.TokenCost;
import io.lentilslip.core.configuration.UpstreamKind;
import io.lentilslip.core.configuration.UpstreamPolicy;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
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
import io.lentilslip.core.verdict.Verdict;

/**
 * A sidecar of an engine with the log it reads and two entries. Nothing happens, and no
 * time passes, but by the calls of a test. Confined to one thread.
 */
final class SidecarSite {

	static final ZoneName ZONE = new ZoneName("hall");

	static final GroupName GROUP = new GroupName("buyers");

	static final ProcessId SELF = new ProcessId(new VmName("runner-1"), new Incarnation(7));

	static final ProcessId ENTRY = new ProcessId(new VmName("entry-1"), new Incarnation(9));

	static final ProcessId OTHER_ENTRY = new ProcessId(new VmName("entry-2"), new Incarnation(10));

	static final ProgramId PROGRAM = new ProgramId(GROUP, new ProgramName("chat"));

	static final Duration TIME_LEFT = Duration.ofMinutes(1);

	private static final ModelName MODEL = new ModelName("assistant");

	private static final String ANSWER = "{\"role\":\"assistant\"}";

	private final List<SidecarEffect> effects = new ArrayList<>();

	private final SidecarReducer reducer = new SidecarReducer();

	private SidecarState state = SidecarState.of(SELF, ZONE);

	private Instant now = Instant.EPOCH.plusSeconds(60);

	private long offset;

	private int settled;

	private long attempts;

	SidecarSite(Limits limits, int maximumCalls) {
		UpstreamPolicy upstream = new UpstreamPolicy(SELF.vm(), ZONE, new Endpoint("127.0.0.1", 7001),
				new Endpoint("127.0.0.1", 7002), new UpstreamKind.ForEngine(Set.of(MODEL), true, 100_000),
				maximumCalls);
		accept(1,
				Configuration.ofSite(new PolicyName("site"))
					.with(limits)
					.with(ZONE)
					.with(GroupPolicy.withShare(GROUP, 1))
					.with(new ModelPolicy(MODEL, 100_000, 1000, TokenCost.DEFAULT))
					.with(upstream)
					.build());
		apply(new SidecarEvent.EntryConnected(ENTRY, this.now));
		apply(new SidecarEvent.EntryConnected(OTHER_ENTRY, this.now));
		report(1);
	}

	/**
	 * Returns a sidecar that is the home of {@link #PROGRAM} in its first epoch.
	 * @return the site
	 */
	static SidecarSite asHome() {
		SidecarSite site = new SidecarSite(Limits.DEFAULT, 4);
		site.read(new LedgerRecord.ProgramClaimed(PROGRAM, Epoch.NONE.next(), SELF, Optional.empty()));
		return site;
	}

	void accept(long version, Configuration configuration) {
		apply(new SidecarEvent.NodeEventReceived(
				new NodeEvent.ConfigurationAccepted(version, configuration, this.now)));
	}

	void report(long instance) {
		apply(new SidecarEvent.UpstreamLoadReceived(instance, 0, 0, 0, this.now));
	}

	void pass(Duration time) {
		this.now = this.now.plus(time);
		apply(new SidecarEvent.NodeEventReceived(new NodeEvent.Ticked(this.now, 1)));
	}

	void read(LedgerRecord record) {
		apply(new SidecarEvent.LogEventReceived(
				new LogEvent.BatchRead(this.offset++, this.now, List.of(record), this.now)));
	}

	/**
	 * Lets all appends that the log has not answered take effect and be read.
	 */
	void settleLog() {
		while (this.settled < appends().size()) {
			NodeEffect.AppendRecord append = appends().get(this.settled);
			endAppend(AppendResult.APPENDED);
			read(append.record());
		}
	}

	void endAppend(AppendResult result) {
		NodeEffect.AppendRecord append = appends().get(this.settled++);
		apply(new SidecarEvent.LogEventReceived(new LogEvent.AppendEnded(append.append(), result, this.now)));
	}

	/**
	 * Sends a call of the program that leaves the history to the system.
	 * @param entry the entry that sends it
	 * @param number the call's number
	 * @param message the message it adds
	 * @param delivered the text that its caller already has
	 * @return the attempt
	 */
	AttemptId call(ProcessId entry, int number, String message, String delivered) {
		return dispatch(entry, Optional.of(number), HistoryMode.NEW, message, delivered);
	}

	AttemptId call(int number, String message) {
		return call(ENTRY, number, message, "");
	}

	/**
	 * Sends a call of the program with the whole history and without a number.
	 * @param message the only message
	 * @return the attempt
	 */
	AttemptId callUnnumbered(String message) {
		return dispatch(ENTRY, Optional.empty(), HistoryMode.WHOLE, message, "");
	}

	private AttemptId dispatch(ProcessId entry, Optional<Integer> number, HistoryMode mode, String message,
			String delivered) {
		return dispatch(entry, Optional.of(new ProgramCall(PROGRAM, Optional.empty(), number)), mode, message,
				new ExecutionAuthority.ForHome(SELF, Epoch.NONE.next(), 0), TIME_LEFT, delivered);
	}

	/**
	 * Sends a call that belongs to no program.
	 * @param message its message
	 * @param timeLeft the time until its deadline
	 * @return the attempt
	 */
	AttemptId callAlone(String message, Duration timeLeft) {
		return dispatch(ENTRY, Optional.empty(), HistoryMode.WHOLE, message, new ExecutionAuthority.ForSingleCall(),
				timeLeft, "");
	}

	private AttemptId dispatch(ProcessId entry, Optional<ProgramCall> place, HistoryMode mode, String message,
			ExecutionAuthority standing, Duration timeLeft, String delivered) {
		AttemptId attempt = new AttemptId(entry.incarnation(), ++this.attempts);
		CallRequest call = new CallRequest.ForModel(GROUP, place, Optional.empty(), Digest.of(message), MODEL, mode,
				List.of(message), 100, "{}", false);
		apply(new SidecarEvent.EntryMessageReceived(entry,
				new LinkMessage.Dispatch(attempt, call, standing, timeLeft, delivered), this.now));
		return attempt;
	}

	void cancel(AttemptId attempt) {
		apply(new SidecarEvent.EntryMessageReceived(ENTRY, new LinkMessage.Cancel(attempt), this.now));
	}

	/**
	 * Returns the orders given to the engine, in their sequence.
	 * @return the orders
	 */
	List<SidecarEffect.Generate> runs() {
		return effects(SidecarEffect.Generate.class);
	}

	/**
	 * Returns the message that was added by each order given to the engine.
	 * @return the messages
	 */
	List<String> started() {
		return runs().stream().map((run) -> run.request().messages().getLast()).toList();
	}

	List<RunId> cancelledRuns() {
		return effects(SidecarEffect.CancelRun.class).stream().map(SidecarEffect.CancelRun::run).toList();
	}

	void progress(int run, String text) {
		apply(new SidecarEvent.RunProgressed(runs().get(run).run(), text, this.now));
	}

	void answer(int run) {
		end(run, new RunResult.Generated(ANSWER, "stop", new Usage(10, 0, 5)));
	}

	void crash(int run) {
		end(run, new RunResult.Failed(Verdict.MAY_HAVE_RUN, "connection reset", true));
	}

	void end(int run, RunResult result) {
		apply(new SidecarEvent.RunEnded(runs().get(run).run(), result, this.now));
	}

	Optional<CallOutcome> outcomeOf(AttemptId attempt) {
		List<CallOutcome> outcomes = messages(LinkMessage.Finished.class).stream()
			.filter((finished) -> finished.attempt().equals(attempt))
			.map(LinkMessage.Finished::outcome)
			.toList();
		if (outcomes.size() > 1) {
			throw new AssertionError("an attempt ended more than once: " + outcomes);
		}
		return outcomes.stream().findFirst();
	}

	CallOutcome.Completed answerOf(AttemptId attempt) {
		return (CallOutcome.Completed) outcomeOf(attempt).orElseThrow();
	}

	CallFailure failureOf(AttemptId attempt) {
		return ((CallOutcome.Failed) outcomeOf(attempt).orElseThrow()).failure();
	}

	String textFor(AttemptId attempt) {
		StringBuilder text = new StringBuilder();
		int sequence = 0;
		for (LinkMessage.Delta delta : messages(LinkMessage.Delta.class)) {
			if (delta.attempt().equals(attempt)) {
				if (delta.sequence() != sequence++) {
					throw new AssertionError("a part is missing or came twice: " + delta);
				}
				text.append(delta.text());
			}
		}
		return text.toString();
	}

	List<LedgerRecord> appended() {
		return appends().stream().map(NodeEffect.AppendRecord::record).toList();
	}

	long attained() {
		return this.state.queue.attainedService(PROGRAM);
	}

	List<String> leftovers() {
		return SidecarLeftovers.in(this.state);
	}

	private List<NodeEffect.AppendRecord> appends() {
		return effects(SidecarEffect.ForNode.class).stream()
			.map(SidecarEffect.ForNode::effect)
			.filter(NodeEffect.AppendRecord.class::isInstance)
			.map(NodeEffect.AppendRecord.class::cast)
			.toList();
	}

	private <T extends LinkMessage> List<T> messages(Class<T> type) {
		return effects(SidecarEffect.Send.class).stream()
			.map(SidecarEffect.Send::message)
			.filter(type::isInstance)
			.map(type::cast)
			.toList();
	}

	private <T extends SidecarEffect> List<T> effects(Class<T> type) {
		return this.effects.stream().filter(type::isInstance).map(type::cast).toList();
	}

	private void apply(SidecarEvent event) {
		Step<SidecarState, SidecarEffect> step = this.reducer.apply(this.state, event);
		this.state = step.state();
		this.effects.addAll(step.effects());
	}

}
