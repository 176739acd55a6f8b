package io.lentilslip.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.call.ServiceRequest;
import io.lentilslip.core.configuration.CallerPolicy;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.configuration.GroupPolicy;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.configuration.ModelPolicy;
import io.lentilslip.core.configuration.PolicyName;
import io.lentilslip.core.configuration.ProgramRule;
import io.lentilslip.core.configuration.ServiceClass;
import io.lentilslip.core.configuration.ServicePolicy;
import io.lentilslip.core.configuration.TokenCost;
import io.lentilslip.core.configuration.UpstreamKind;
import io.lentilslip.core.configuration.UpstreamPolicy;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.IdempotencyKey;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.ServiceName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.reducer.Step;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.core.role.NodeEvent;

/**
 * Test fixture of an entry with two engines, a service and a log. Time and events advance
 * only by calls of the test. Confined to one thread.
 */
final class EntrySite {

	static final GroupName SELLERS = new GroupName("sellers");

	static final GroupName BUYERS = new GroupName("buyers");

	static final ProgramName CHAT = new ProgramName("chat");

	static final ModelName MODEL = new ModelName("assistant");

	static final ServiceName SERVICE = new ServiceName("orders");

	static final ProcessId FIRST = new ProcessId(new VmName("runner-1"), new Incarnation(1));

	static final ProcessId SECOND = new ProcessId(new VmName("runner-2"), new Incarnation(1));

	static final ProcessId PLAIN = new ProcessId(new VmName("service-1"), new Incarnation(1));

	static final int MAX_MESSAGES = 3;

	static final Duration TIME_LEFT = Duration.ofMinutes(1);

	private static final ZoneName ZONE = new ZoneName("hall");

	private static final PolicyName SELLER = new PolicyName("seller");

	private final List<EntryEffect> effects = new ArrayList<>();

	private final EntryReducer reducer = new EntryReducer();

	private EntryState state = EntryState.of(new ProcessId(new VmName("entry-1"), new Incarnation(9)), ZONE);

	private Instant now = Instant.EPOCH.plusSeconds(60);

	private long offset;

	private int readRecords;

	private long tickets;

	/**
	 * Returns a configured entry that is linked to all sidecars.
	 * @return the fixture
	 */
	static EntrySite ready() {
		EntrySite site = new EntrySite();
		site.configure();
		site.link(FIRST);
		site.link(SECOND);
		site.link(PLAIN);
		return site;
	}

	void configure() {
		Limits.ProgramLimits programs = Limits.ProgramLimits.DEFAULT;
		Limits limits = new Limits(Limits.RequestLimits.DEFAULT,
				new Limits.ProgramLimits(MAX_MESSAGES, programs.turns(), programs.historyTokens(), programs.idleTime(),
						programs.lifetime(), programs.openPerGroup(), programs.childrenPerProgram()),
				Limits.DeadlineLimits.DEFAULT, Limits.QueueLimits.DEFAULT, Limits.FaultLimits.DEFAULT,
				Limits.DEFAULT.drainTime());
		Configuration configuration = Configuration.ofSite(new PolicyName("site"))
			.with(limits)
			.with(ZONE)
			.with(GroupPolicy.withShare(SELLERS, 1))
			.with(GroupPolicy.withShare(BUYERS, 1))
			.with(new CallerPolicy(SELLER, SELLERS, Digest.of("seller")))
			.with(new ProgramRule(new PolicyName("offers"), BUYERS, "offer-", ServiceClass.INTERACTIVE, Set.of(SELLER)))
			.with(new ModelPolicy(MODEL, 100_000, 1000, TokenCost.DEFAULT))
			.with(new ServicePolicy(SERVICE, List.of(), Duration.ofSeconds(5)))
			.with(upstream(FIRST, 1, new UpstreamKind.ForEngine(Set.of(MODEL), true, 100_000)))
			.with(upstream(SECOND, 3, new UpstreamKind.ForEngine(Set.of(MODEL), true, 100_000)))
			.with(upstream(PLAIN, 5, new UpstreamKind.ForService(Set.of(SERVICE))))
			.build();
		apply(new EntryEvent.NodeEventReceived(new NodeEvent.ConfigurationAccepted(1, configuration, this.now)));
	}

	private static UpstreamPolicy upstream(ProcessId sidecar, int port, UpstreamKind kind) {
		return new UpstreamPolicy(sidecar.vm(), ZONE, new Endpoint("127.0.0.1", port),
				new Endpoint("127.0.0.1", port + 1), kind, 4);
	}

	static Submission model(Optional<ProgramName> program, Optional<Integer> number, HistoryMode mode,
			String... messages) {
		return new Submission(Digest.of("seller"), program, Optional.empty(), number, Optional.empty(),
				Optional.of(TIME_LEFT),
				new Payload.ForModel(MODEL, mode, List.of(messages), Optional.empty(), "{}", true));
	}

	static Submission turn(int number, String message) {
		return model(Optional.of(CHAT), Optional.of(number), HistoryMode.NEW, message);
	}

	static Submission order(String key, String body) {
		return new Submission(Digest.of("seller"), Optional.empty(), Optional.empty(), Optional.empty(),
				Optional.of(new IdempotencyKey(key)), Optional.of(TIME_LEFT),
				new Payload.ForService(SERVICE, new ServiceRequest("POST", "/orders", List.of(), Body.of(body))));
	}

	Ticket call(Submission submission) {
		Ticket ticket = new Ticket(++this.tickets);
		apply(new EntryEvent.CallArrived(ticket, submission, this.now, 1));
		return ticket;
	}

	void link(ProcessId sidecar) {
		apply(new EntryEvent.SidecarLinked(sidecar.vm(), sidecar, this.now));
	}

	void unlink(ProcessId sidecar) {
		apply(new EntryEvent.SidecarUnlinked(sidecar.vm(), this.now));
	}

	void receive(ProcessId sidecar, LinkMessage.FromSidecar message) {
		apply(new EntryEvent.SidecarMessageReceived(sidecar, message, this.now));
	}

	/**
	 * Sends a delta from the sidecar of the latest dispatch.
	 * @param sequence the sequence number
	 * @param text its text
	 */
	void sendDelta(int sequence, String text) {
		receive(latestDispatch().sidecar(), new LinkMessage.Delta(dispatch().attempt(), sequence, text));
	}

	/**
	 * Completes the latest dispatch.
	 * @param outcome the outcome
	 */
	void finish(CallOutcome outcome) {
		receive(latestDispatch().sidecar(), new LinkMessage.Finished(dispatch().attempt(), outcome));
	}

	void stop() {
		apply(new EntryEvent.NodeEventReceived(new NodeEvent.StopRequested(this.now)));
	}

	void advanceTime(Duration time) {
		this.now = this.now.plus(time);
		apply(new EntryEvent.NodeEventReceived(new NodeEvent.Ticked(this.now, 1)));
	}

	/**
	 * Completes two reads of the log, so that the whole log is known to be read.
	 */
	void catchUp() {
		for (int round = 0; round < 2; round++) {
			apply(new EntryEvent.LogEventReceived(new LogEvent.CaughtUp(this.offset, this.now)));
		}
	}

	void loseLog() {
		apply(new EntryEvent.LogEventReceived(new LogEvent.Unreachable(this.now)));
	}

	void read(LedgerRecord record) {
		apply(new EntryEvent.LogEventReceived(
				new LogEvent.BatchRead(this.offset++, this.now, List.of(record), this.now)));
	}

	/**
	 * Delivers all appended records to the entry.
	 */
	void readAppended() {
		while (this.readRecords < appended().size()) {
			read(appended().get(this.readRecords++));
		}
	}

	List<LedgerRecord> appended() {
		return effects(EntryEffect.ForNode.class).stream()
			.map(EntryEffect.ForNode::effect)
			.filter(NodeEffect.AppendRecord.class::isInstance)
			.map((effect) -> ((NodeEffect.AppendRecord) effect).record())
			.toList();
	}

	/**
	 * Returns the dispatches in order.
	 * @return the dispatches, each with the sidecar it was sent to
	 */
	List<EntryEffect.Send> dispatches() {
		return effects(EntryEffect.Send.class).stream()
			.filter((send) -> send.message() instanceof LinkMessage.Dispatch)
			.toList();
	}

	EntryEffect.Send latestDispatch() {
		return dispatches().getLast();
	}

	LinkMessage.Dispatch dispatch() {
		return (LinkMessage.Dispatch) latestDispatch().message();
	}

	boolean isCancelled(LinkMessage.Dispatch dispatch) {
		return effects(EntryEffect.Send.class).stream()
			.anyMatch((send) -> send.message().equals(new LinkMessage.Cancel(dispatch.attempt())));
	}

	String textFor(Ticket ticket) {
		StringBuilder text = new StringBuilder();
		effects(EntryEffect.Deliver.class).stream()
			.filter((deliver) -> deliver.ticket().equals(ticket))
			.forEach((deliver) -> text.append(deliver.text()));
		return text.toString();
	}

	List<CallOutcome> outcomesOf(Ticket ticket) {
		return effects(EntryEffect.Complete.class).stream()
			.filter((complete) -> complete.ticket().equals(ticket))
			.map(EntryEffect.Complete::outcome)
			.toList();
	}

	CallFailure failureOf(Ticket ticket) {
		List<CallOutcome> outcomes = outcomesOf(ticket);
		if (outcomes.size() == 1 && outcomes.getFirst() instanceof CallOutcome.Failed failed) {
			return failed.failure();
		}
		throw new AssertionError("call must complete once, with a failure, but its outcomes are: " + outcomes);
	}

	private <T extends EntryEffect> List<T> effects(Class<T> type) {
		return this.effects.stream().filter(type::isInstance).map(type::cast).toList();
	}

	private void apply(EntryEvent event) {
		Step<EntryState, EntryEffect> step = this.reducer.apply(this.state, event);
		this.state = step.state();
		this.effects.addAll(step.effects());
	}

}
