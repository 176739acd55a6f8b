package io.lentilslip.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.budget.Account;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.configuration.Budget;
import io.lentilslip.core.configuration.CallerPolicy;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.configuration.GroupPolicy;
import io.lentilslip.core.configuration.ModelPolicy;
import io.lentilslip.core.configuration.PolicyName;
import io.lentilslip.core.configuration.ProgramRule;
import io.lentilslip.core.configuration.ServiceClass;
import io.lentilslip.core.configuration.TokenCost;
import io.lentilslip.core.configuration.UpstreamKind;
import io.lentilslip.core.configuration.UpstreamPolicy;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.reducer.Step;
import io.lentilslip.core.role.AppendId;
import io.lentilslip.core.role.AppendResult;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.core.role.NodeEvent;

/**
 * Test fixture of entries that share a log and an engine with scripted answers. Each
 * entry has its own clock and log offset. Confined to one thread.
 */
final class BudgetSite {

	static final GroupName SELLERS = new GroupName("sellers");

	static final GroupName BUYERS = new GroupName("buyers");

	static final Duration PERIOD = Duration.ofHours(1);

	private static final ZoneName ZONE = new ZoneName("north");

	private static final ModelName MODEL = new ModelName("m");

	private static final ProcessId SIDECAR = new ProcessId(new VmName("vm-1"), new Incarnation(1));

	// Tokens that an estimate adds to the tokens to generate.
	private static final int TOKENS_OF_PROMPT = 10;

	final List<LoggedRecord> log = new ArrayList<>();

	final Deque<LedgerRecord> delayedRecords = new ArrayDeque<>();

	final List<Entry> entries = new ArrayList<>();

	Instant now = Instant.parse("2026-07-14T10:10:00Z");

	private long incarnations;

	private long tickets;

	BudgetSite(int count, long limit) {
		for (int number = 0; number < count; number++) {
			this.entries.add(new Entry(Duration.ofSeconds(1000L * number), 1, limit));
		}
	}

	Entry entry(int number) {
		return this.entries.get(number);
	}

	/**
	 * Replaces an entry by a new incarnation on the same VM.
	 * @param number the entry
	 * @param limit the configured limit of the new incarnation
	 * @param version the configuration version of the new incarnation
	 */
	void restart(int number, long limit, long version) {
		this.entries.set(number, new Entry(Duration.ofSeconds(77), version, limit));
	}

	/**
	 * Adds the records of delayed appends to the log.
	 */
	void appendDelayedRecords() {
		while (!this.delayedRecords.isEmpty()) {
			this.log.add(new LoggedRecord(this.now, this.delayedRecords.remove()));
		}
	}

	/**
	 * Completes all appends and reads until none is in flight.
	 */
	void settle() {
		boolean progressed = true;
		while (progressed) {
			progressed = false;
			for (Entry entry : this.entries) {
				while (!entry.appends.isEmpty()) {
					entry.appendNext(AppendFault.APPENDED);
					progressed = true;
				}
				while (entry.read < this.log.size()) {
					entry.readNext();
					progressed = true;
				}
			}
		}
	}

	/**
	 * Advances the time in steps of one second with a reachable log.
	 * @param seconds the number of seconds
	 */
	void advanceTime(int seconds) {
		for (int second = 0; second < seconds; second++) {
			this.now = this.now.plusSeconds(1);
			this.entries.forEach(Entry::tick);
			settle();
		}
	}

	private static Configuration configurationWith(GroupPolicy sellers) {
		PolicyName desk = new PolicyName("buyers");
		return Configuration.ofSite(new PolicyName("barca"))
			.with(ZONE)
			.with(sellers)
			.with(GroupPolicy.withShare(BUYERS, 3))
			.with(new CallerPolicy(new PolicyName("sellers"), SELLERS, Digest.of("sellers")))
			.with(new CallerPolicy(desk, BUYERS, Digest.of("buyers")))
			.with(new ProgramRule(new PolicyName("offers"), SELLERS, "offer-", ServiceClass.INTERACTIVE, Set.of(desk)))
			.with(new ModelPolicy(MODEL, 100_000, 100_000, TokenCost.DEFAULT))
			.with(new UpstreamPolicy(SIDECAR.vm(), ZONE, new Endpoint("127.0.0.1", 1), new Endpoint("127.0.0.1", 2),
					new UpstreamKind.ForEngine(Set.of(MODEL), true, 1000), 4))
			.build();
	}

	/**
	 * Fault injected into an append.
	 */
	enum AppendFault {

		APPENDED, NOT_APPENDED, APPENDED_ANSWER_LOST, NOT_APPENDED_ANSWER_LOST, APPENDED_LATER

	}

	/**
	 * Record in the log.
	 *
	 * @param time the time in the log
	 * @param record the record
	 */
	record LoggedRecord(Instant time, LedgerRecord record) {

	}

	/**
	 * Append requested by an entry.
	 *
	 * @param id the identifier of the append
	 * @param record the record
	 */
	record PendingAppend(AppendId id, LedgerRecord record) {

	}

	/**
	 * One incarnation of an entry.
	 */
	final class Entry {

		final ProcessId self;

		final Deque<PendingAppend> appends = new ArrayDeque<>();

		final Map<Long, LinkMessage.Dispatch> running = new LinkedHashMap<>();

		final Map<Long, CallOutcome> outcomes = new LinkedHashMap<>();

		long usedTokens;

		private final Duration skew;

		private final EntryReducer reducer = new EntryReducer();

		private EntryState state;

		private int read;

		Entry(Duration skew, long version, long limit) {
			BudgetSite.this.incarnations++;
			this.self = new ProcessId(new VmName("entry"), new Incarnation(BudgetSite.this.incarnations));
			this.skew = skew;
			this.state = EntryState.of(this.self, ZONE);
			configure(version, limit);
			apply(new EntryEvent.SidecarLinked(SIDECAR.vm(), SIDECAR, clock()));
		}

		void configure(long version, long limit) {
			apply(new EntryEvent.NodeEventReceived(new NodeEvent.ConfigurationAccepted(version,
					configurationWith(GroupPolicy.withShare(SELLERS, 2).within(new Budget(limit, PERIOD))), clock())));
		}

		void configureWithoutBudget(long version) {
			apply(new EntryEvent.NodeEventReceived(new NodeEvent.ConfigurationAccepted(version,
					configurationWith(GroupPolicy.withShare(SELLERS, 2)), clock())));
		}

		long call(long tokens) {
			return call("sellers", Optional.empty(), tokens);
		}

		long call(String caller, Optional<ProgramName> program, long tokens) {
			Ticket ticket = new Ticket(++BudgetSite.this.tickets);
			Payload payload = new Payload.ForModel(MODEL, HistoryMode.WHOLE, List.of("m"),
					Optional.of((int) tokens - TOKENS_OF_PROMPT), "{}", false);
			apply(new EntryEvent.CallArrived(ticket, new Submission(Digest.of(caller), program, Optional.empty(),
					Optional.empty(), Optional.empty(), Optional.of(Duration.ofMinutes(5)), payload), clock(), 1));
			return ticket.value();
		}

		void finish(long ticket, CallOutcome outcome, long tokens) {
			LinkMessage.Dispatch dispatch = this.running.remove(ticket);
			this.usedTokens += tokens;
			apply(new EntryEvent.SidecarMessageReceived(SIDECAR, new LinkMessage.Finished(dispatch.attempt(), outcome),
					clock()));
		}

		void answer(long ticket, long tokens) {
			finish(ticket,
					new CallOutcome.Completed(new CallResponse.FromModel("{}", "stop", new Usage((int) tokens, 0, 0)),
							Durability.NOT_KEPT, 0),
					tokens);
		}

		void appendNext(AppendFault fault) {
			PendingAppend append = this.appends.remove();
			if (fault == AppendFault.APPENDED || fault == AppendFault.APPENDED_ANSWER_LOST) {
				BudgetSite.this.log.add(new LoggedRecord(BudgetSite.this.now, append.record()));
			}
			if (fault == AppendFault.APPENDED_LATER) {
				BudgetSite.this.delayedRecords.add(append.record());
			}
			AppendResult result = switch (fault) {
				case APPENDED -> AppendResult.APPENDED;
				case NOT_APPENDED -> AppendResult.NOT_APPENDED;
				case APPENDED_ANSWER_LOST, NOT_APPENDED_ANSWER_LOST, APPENDED_LATER -> AppendResult.UNKNOWN;
			};
			receive(new LogEvent.AppendEnded(append.id(), result, clock()));
		}

		void readNext() {
			LoggedRecord next = BudgetSite.this.log.get(this.read);
			receive(new LogEvent.BatchRead(this.read, next.time(), List.of(next.record()), clock()));
			this.read++;
		}

		boolean hasUnread() {
			return this.read < BudgetSite.this.log.size();
		}

		void receive(LogEvent event) {
			apply(new EntryEvent.LogEventReceived(event));
		}

		void loseLog() {
			receive(new LogEvent.Unreachable(clock()));
		}

		void disconnectCaller(long ticket) {
			this.running.remove(ticket);
			apply(new EntryEvent.CallerDisconnected(new Ticket(ticket), clock()));
		}

		void tick() {
			apply(new EntryEvent.NodeEventReceived(new NodeEvent.Ticked(clock(), 1)));
		}

		Optional<Account<Ticket>> account() {
			return this.state.accounts.get(SELLERS).toJavaOptional();
		}

		EntryStatus status() {
			return this.state.status();
		}

		Instant clock() {
			return Instant.EPOCH.plus(this.skew)
				.plus(Duration.between(Instant.parse("2026-07-14T00:00:00Z"), BudgetSite.this.now));
		}

		private void apply(EntryEvent event) {
			Step<EntryState, EntryEffect> step = this.reducer.apply(this.state, event);
			this.state = step.state();
			step.effects().forEach(this::handleEffect);
		}

		private void handleEffect(EntryEffect effect) {
			switch (effect) {
				case EntryEffect.ForNode node when node.effect() instanceof NodeEffect.AppendRecord append ->
					this.appends.add(new PendingAppend(append.append(), append.record()));
				case EntryEffect.Send send when send.message() instanceof LinkMessage.Dispatch dispatch ->
					this.running.put(this.state.attempts.get(dispatch.attempt()).get().value(), dispatch);
				case EntryEffect.Complete complete -> {
					this.running.remove(complete.ticket().value());
					this.outcomes.put(complete.ticket().value(), complete.outcome());
				}
				default -> {
				}
			}
		}

	}

}
