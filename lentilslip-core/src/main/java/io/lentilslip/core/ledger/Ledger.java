package io.lentilslip.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.LedgerChange.VoidReason;
import io.lentilslip.core.verdict.Verdict;
import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Queue;
import io.vavr.collection.Set;

/**
 * Immutable state derived from the stream {@code programs}. Processes that apply the same
 * records in the order of the log have the same ledger, since the log's time is the only
 * clock used. The epoch of a program never decreases, each turn is added once and in
 * order, and a call has at most one executor at a time. Safe for use by several threads.
 */
public final class Ledger {

	/**
	 * How long a program is retained after its first claim, in the log's time. All
	 * processes must use the same value, since it decides which records take effect. The
	 * lifetime of a program must not exceed it, and the log must retain records for twice
	 * as long, so that a process that starts with the records still in the log expires
	 * the same programs as one that has read all records.
	 */
	public static final Duration RETENTION = Duration.ofHours(26);

	private final Map<ProgramId, ProgramState> programs;

	private final Map<ProgramId, Set<ProgramId>> children;

	private final Map<CallKey, ClaimState> claims;

	private final Map<Digest, CrashRecord> crashRecords;

	private final Map<GroupName, BudgetState> budgets;

	private final Queue<Expiry> expiries;

	private final Duration retention;

	private Ledger(Map<ProgramId, ProgramState> programs, Map<ProgramId, Set<ProgramId>> children,
			Map<CallKey, ClaimState> claims, Map<Digest, CrashRecord> crashRecords, Map<GroupName, BudgetState> budgets,
			Queue<Expiry> expiries, Duration retention) {
		this.programs = programs;
		this.children = children;
		this.claims = claims;
		this.crashRecords = crashRecords;
		this.budgets = budgets;
		this.expiries = expiries;
		this.retention = retention;
	}

	/**
	 * Returns a ledger without records.
	 * @param retention how long, in the log's time, a program is retained after its first
	 * claim, and a call or a crash after its last record
	 * @return an empty ledger
	 */
	public static Ledger withRetention(Duration retention) {
		return new Ledger(HashMap.empty(), HashMap.empty(), HashMap.empty(), HashMap.empty(), HashMap.empty(),
				Queue.empty(), retention);
	}

	/**
	 * Returns the state of a program.
	 * @param program the program
	 * @return the state, or an empty result if there is none
	 */
	public Optional<ProgramState> program(ProgramId program) {
		return this.programs.get(program).toJavaOptional();
	}

	/**
	 * Returns the state of a claimed call.
	 * @param key the key of the call
	 * @return the claim, or an empty result if there is none
	 */
	public Optional<ClaimState> claim(CallKey key) {
		return this.claims.get(key).toJavaOptional();
	}

	/**
	 * Returns the number of crashes counted for a request.
	 * @param content the digest of the request
	 * @return the number of crashes, 0 if there is no record of one
	 */
	public int crashCount(Digest content) {
		return this.crashRecords.get(content).map(CrashRecord::count).getOrElse(0);
	}

	/**
	 * Returns the number of retained programs, including ended ones.
	 * @return the number of programs
	 */
	public int programCount() {
		return this.programs.size();
	}

	/**
	 * Returns the budget of a group as of its last record.
	 * @param group the group
	 * @return the state, or an empty result without recent reservations
	 */
	public Optional<BudgetState> budget(GroupName group) {
		return this.budgets.get(group).toJavaOptional();
	}

	/**
	 * Returns the number of requests with counted crashes.
	 * @return the number of requests
	 */
	public int crashRecordCount() {
		return this.crashRecords.size();
	}

	/**
	 * Returns the number of retained claims.
	 * @return the number of claims
	 */
	public int claimCount() {
		return this.claims.size();
	}

	/**
	 * Applies the next record of the stream.
	 * @param position the position of the record in the log
	 * @param time the log's time of the record
	 * @param record the record
	 * @return the ledger after the record and the changes it made
	 */
	public ApplyResult apply(Position position, Instant time, LedgerRecord record) {
		Ledger current = expireBefore(time.minus(this.retention));
		return switch (record) {
			case LedgerRecord.ProgramClaimed claimed -> current.claimProgram(position, time, claimed);
			case LedgerRecord.TurnCommitted committed -> current.addTurn(position, time, committed);
			case LedgerRecord.ProgramEnded ended -> current.endProgram(ended);
			case LedgerRecord.CallClaimed claimed -> current.claimCall(position, time, claimed);
			case LedgerRecord.CallSettled settled -> current.settleCall(time, settled);
			case LedgerRecord.UpstreamCrashed crashed -> current.recordCrash(time, crashed);
			case LedgerRecord.CrashesCleared cleared -> current.clearCrashes(cleared);
			case LedgerRecord.SliceReserved reserved -> current.reserve(time, reserved);
			case LedgerRecord.SliceReturned returned -> current.returnSlice(time, returned);
		};
	}

	private ApplyResult claimProgram(Position position, Instant time, LedgerRecord.ProgramClaimed record) {
		ProgramId program = record.program();
		Optional<ProgramState> existing = program(program);
		if (existing.isPresent() && existing.get().endReason().isPresent()) {
			return voided(record, VoidReason.PROGRAM_ENDED);
		}
		Epoch epoch = existing.map(ProgramState::epoch).orElse(Epoch.NONE);
		if (!record.epoch().equals(epoch.next())) {
			return voided(record, VoidReason.EPOCH_TAKEN);
		}
		if (existing.isPresent()) {
			ProgramState moved = existing.get().withHome(record.home(), record.epoch(), position);
			return with(program, moved, new LedgerChange.HomeChanged(program, moved, existing.get().home()));
		}
		// A child claimed after the end of its parent would never be ended, and its cache
		// in the engine would stay held. Rejecting its first claim is enough, since a
		// program without a home runs nothing.
		if (record.parent().flatMap(this::program).flatMap(ProgramState::endReason).isPresent()) {
			return voided(record, VoidReason.PROGRAM_ENDED);
		}
		ProgramState created = new ProgramState(record.epoch(), record.home(), record.parent(), time, position, 0,
				Optional.empty(), time, 0, Optional.empty());
		Ledger next = record.parent().map((parent) -> withChild(parent, program)).orElse(this);
		return next.withExpiry(new Expiry.ForProgram(time, program))
			.with(program, created, new LedgerChange.HomeChanged(program, created, record.home()));
	}

	private ApplyResult addTurn(Position position, Instant time, LedgerRecord.TurnCommitted record) {
		Optional<ProgramState> existing = program(record.program());
		if (existing.isEmpty()) {
			return voided(record, VoidReason.UNKNOWN);
		}
		ProgramState state = existing.get();
		if (state.endReason().isPresent()) {
			return voided(record, VoidReason.PROGRAM_ENDED);
		}
		if (!state.epoch().equals(record.epoch())) {
			return voided(record, VoidReason.EPOCH_SUPERSEDED);
		}
		if (record.turn().number() != state.lastCall() + 1) {
			return voided(record, VoidReason.TURN_NOT_NEXT);
		}
		ProgramState updated = state.withTurn(record.turn(), position, time);
		return with(record.program(), updated, new LedgerChange.TurnAdded(record.program(), updated, record.turn()));
	}

	private ApplyResult endProgram(LedgerRecord.ProgramEnded record) {
		Optional<ProgramState> existing = program(record.program());
		if (existing.isEmpty()) {
			return voided(record, VoidReason.UNKNOWN);
		}
		if (existing.get().endReason().isPresent()) {
			return voided(record, VoidReason.PROGRAM_ENDED);
		}
		List<LedgerChange> changes = new ArrayList<>();
		Ledger next = close(record.program(), record.reason(), changes);
		return new ApplyResult(next, changes);
	}

	// Ends a program and all its descendants. The work list is explicit, since a chain of
	// sub-agents may be deeper than the stack.
	private Ledger close(ProgramId program, EndReason reason, List<LedgerChange> changes) {
		Map<ProgramId, ProgramState> states = this.programs;
		Queue<ProgramId> pending = Queue.of(program);
		while (!pending.isEmpty()) {
			ProgramId next = pending.head();
			pending = pending.tail().appendAll(this.children.getOrElse(next, HashSet.empty()));
			Optional<ProgramState> state = states.get(next).toJavaOptional();
			if (state.isEmpty() || state.get().endReason().isPresent()) {
				continue;
			}
			EndReason effectiveReason = (next.equals(program)) ? reason : EndReason.WITH_PARENT;
			ProgramState ended = state.get().withEndReason(effectiveReason);
			states = states.put(next, ended);
			changes.add(new LedgerChange.ProgramEnded(next, ended, effectiveReason));
		}
		return new Ledger(states, this.children, this.claims, this.crashRecords, this.budgets, this.expiries,
				this.retention);
	}

	private ApplyResult claimCall(Position position, Instant time, LedgerRecord.CallClaimed record) {
		if (this.claims.containsKey(record.key())) {
			return voided(record, VoidReason.CALL_TAKEN);
		}
		ClaimState state = new ClaimState(record.content(), record.executor(), position, Optional.empty());
		Queue<Expiry> newExpiries = this.expiries.enqueue(new Expiry.ForClaim(time, record.key(), position, false));
		Ledger next = new Ledger(this.programs, this.children, this.claims.put(record.key(), state), this.crashRecords,
				this.budgets, newExpiries, this.retention);
		return new ApplyResult(next, List.of(new LedgerChange.CallClaimed(record.key(), state)));
	}

	private ApplyResult settleCall(Instant time, LedgerRecord.CallSettled record) {
		Optional<ClaimState> existing = claim(record.key());
		if (existing.isEmpty()) {
			return voided(record, VoidReason.UNKNOWN);
		}
		ClaimState state = existing.get();
		if (state.outcome().isPresent() || !state.executor().equals(record.executor())) {
			return voided(record, VoidReason.NOT_EXECUTOR);
		}
		if (record.outcome().verdict() == Verdict.NOT_RUN) {
			Ledger next = new Ledger(this.programs, this.children, this.claims.remove(record.key()), this.crashRecords,
					this.budgets, this.expiries, this.retention);
			return new ApplyResult(next, List.of(new LedgerChange.CallReleased(record.key(), record.executor())));
		}
		ClaimState settled = state.withOutcome(record.outcome());
		Queue<Expiry> newExpiries = this.expiries
			.enqueue(new Expiry.ForClaim(time, record.key(), state.claimPosition(), true));
		Ledger next = new Ledger(this.programs, this.children, this.claims.put(record.key(), settled),
				this.crashRecords, this.budgets, newExpiries, this.retention);
		return new ApplyResult(next, List.of(new LedgerChange.CallCompleted(record.key(), settled)));
	}

	// A crash is counted for every request that was running, including those that did not
	// cause it, so crashes alongside other requests count only once. From then on the
	// request runs in isolation, which shows whether it causes the crash.
	private ApplyResult recordCrash(Instant time, LedgerRecord.UpstreamCrashed record) {
		int before = crashCount(record.content());
		int after = (record.isolated()) ? before + 1 : Math.max(before, 1);
		Queue<Expiry> newExpiries = this.expiries.enqueue(new Expiry.ForCrashRecord(time, record.content()));
		Ledger next = new Ledger(this.programs, this.children, this.claims,
				this.crashRecords.put(record.content(), new CrashRecord(after, time)), this.budgets, newExpiries,
				this.retention);
		return new ApplyResult(next, List.of(new LedgerChange.CrashCountChanged(record.content(), after)));
	}

	private ApplyResult clearCrashes(LedgerRecord.CrashesCleared record) {
		Ledger next = new Ledger(this.programs, this.children, this.claims, this.crashRecords.remove(record.content()),
				this.budgets, this.expiries, this.retention);
		return new ApplyResult(next, List.of(new LedgerChange.CrashCountChanged(record.content(), 0)));
	}

	private ApplyResult reserve(Instant time, LedgerRecord.SliceReserved record) {
		BudgetState existing = unexpiredBudget(record.group(), time)
			.map((state) -> state.withConfigurationOf(record, time))
			.orElseGet(() -> BudgetState.create(record, time));
		Ledger next = (this.budgets.containsKey(record.group())) ? this
				: withExpiry(new Expiry.ForBudget(time, record.group()));
		return next.applyDecision(record, record.group(), existing.reserve(record),
				(state) -> new LedgerChange.SliceGranted(record, state));
	}

	private ApplyResult returnSlice(Instant time, LedgerRecord.SliceReturned record) {
		Optional<BudgetState> existing = unexpiredBudget(record.group(), time);
		if (existing.isEmpty()) {
			return voided(record, VoidReason.SLICE_UNKNOWN);
		}
		return applyDecision(record, record.group(), existing.get().advanceTo(time).returnTokens(record),
				(state) -> new LedgerChange.SliceReturned(record, state));
	}

	// Expiries are processed in the order of a queue that differs between processes that
	// started reading at different offsets. The age of a budget is therefore checked here
	// too.
	private Optional<BudgetState> unexpiredBudget(GroupName group, Instant time) {
		return budget(group).filter((state) -> !state.lastReservedAt().isBefore(time.minus(this.retention)));
	}

	private ApplyResult applyDecision(LedgerRecord record, GroupName group, BudgetState.Decision decision,
			Function<BudgetState, LedgerChange> change) {
		Ledger next = new Ledger(this.programs, this.children, this.claims, this.crashRecords,
				this.budgets.put(group, decision.state()), this.expiries, this.retention);
		return new ApplyResult(next,
				List.of(decision.refusal()
					.<LedgerChange>map((reason) -> new LedgerChange.Voided(record, reason))
					.orElseGet(() -> change.apply(decision.state()))));
	}

	private Ledger withExpiry(Expiry expiry) {
		return new Ledger(this.programs, this.children, this.claims, this.crashRecords, this.budgets,
				this.expiries.enqueue(expiry), this.retention);
	}

	private Ledger withChild(ProgramId parent, ProgramId child) {
		Set<ProgramId> siblings = this.children.getOrElse(parent, HashSet.empty()).add(child);
		return new Ledger(this.programs, this.children.put(parent, siblings), this.claims, this.crashRecords,
				this.budgets, this.expiries, this.retention);
	}

	private ApplyResult with(ProgramId program, ProgramState state, LedgerChange change) {
		Ledger next = new Ledger(this.programs.put(program, state), this.children, this.claims, this.crashRecords,
				this.budgets, this.expiries, this.retention);
		return new ApplyResult(next, List.of(change));
	}

	private ApplyResult voided(LedgerRecord record, VoidReason reason) {
		return new ApplyResult(this, List.of(new LedgerChange.Voided(record, reason)));
	}

	// Removes what has expired at a time. This bounds the memory of the process; since
	// the log's time is used, all processes remove the same.
	private Ledger expireBefore(Instant time) {
		Ledger next = this;
		while (!next.expiries.isEmpty() && next.expiries.head().since().isBefore(time)) {
			next = next.expire(next.expiries.head());
		}
		return next;
	}

	private Ledger expire(Expiry expiry) {
		Queue<Expiry> rest = this.expiries.tail();
		return switch (expiry) {
			case Expiry.ForProgram due -> expireProgram(due.program(), rest);
			case Expiry.ForClaim due -> expireClaim(due, rest);
			case Expiry.ForCrashRecord due -> expireCrashRecord(due, rest);
			case Expiry.ForBudget due -> expireBudget(due, rest);
		};
	}

	private Ledger expireProgram(ProgramId program, Queue<Expiry> rest) {
		Map<ProgramId, Set<ProgramId>> remainingChildren = this.children.remove(program);
		Optional<ProgramId> parent = program(program).flatMap(ProgramState::parent);
		if (parent.isPresent()) {
			remainingChildren = remainingChildren
				.computeIfPresent(parent.get(), (key, siblings) -> siblings.remove(program))
				._2();
		}
		return new Ledger(this.programs.remove(program), remainingChildren, this.claims, this.crashRecords,
				this.budgets, rest, this.retention);
	}

	// Removes a claim whose last record has expired. The expiry of the claim itself is
	// skipped if the claim was settled, which has an expiry of its own, or was released
	// and made again.
	private Ledger expireClaim(Expiry.ForClaim due, Queue<Expiry> rest) {
		Optional<ClaimState> state = claim(due.key()).filter((claim) -> claim.claimPosition().equals(due.claimed()))
			.filter((claim) -> claim.outcome().isPresent() == due.settled());
		Map<CallKey, ClaimState> remaining = (state.isPresent()) ? this.claims.remove(due.key()) : this.claims;
		return new Ledger(this.programs, this.children, remaining, this.crashRecords, this.budgets, rest,
				this.retention);
	}

	private Ledger expireCrashRecord(Expiry.ForCrashRecord due, Queue<Expiry> rest) {
		boolean latest = this.crashRecords.get(due.content()).exists((crash) -> crash.last().equals(due.since()));
		Map<Digest, CrashRecord> remaining = (latest) ? this.crashRecords.remove(due.content()) : this.crashRecords;
		return new Ledger(this.programs, this.children, this.claims, remaining, this.budgets, rest, this.retention);
	}

	// Removes a budget whose last reservation under its newest configuration has expired;
	// otherwise queues a new expiry for it.
	private Ledger expireBudget(Expiry.ForBudget due, Queue<Expiry> rest) {
		Optional<BudgetState> state = budget(due.group());
		if (state.isPresent() && state.get().lastReservedAt().isAfter(due.since())) {
			return new Ledger(this.programs, this.children, this.claims, this.crashRecords, this.budgets,
					rest.enqueue(new Expiry.ForBudget(state.get().lastReservedAt(), due.group())), this.retention);
		}
		return new Ledger(this.programs, this.children, this.claims, this.crashRecords,
				this.budgets.remove(due.group()), rest, this.retention);
	}

	/**
	 * Result of applying a record.
	 *
	 * @param ledger the ledger after the record
	 * @param changes the changes, at least one
	 */
	public record ApplyResult(Ledger ledger, List<LedgerChange> changes) {

		/**
		 * Creates a result.
		 * @param ledger the ledger after the record
		 * @param changes the changes, at least one
		 */
		public ApplyResult {
			changes = List.copyOf(changes);
		}

	}

	/**
	 * The crashes counted for a request.
	 *
	 * @param count the number of counted crashes
	 * @param last the log's time of the last crash, counted or not
	 */
	private record CrashRecord(int count, Instant last) {
	}

	/**
	 * An item that expires by its age.
	 */
	private sealed interface Expiry {

		/**
		 * Returns the log's time from which the age counts.
		 * @return the time
		 */
		Instant since();

		/**
		 * A program.
		 *
		 * @param since the log's time of its first claim
		 * @param program the program
		 */
		record ForProgram(Instant since, ProgramId program) implements Expiry {

		}

		/**
		 * A claimed call.
		 *
		 * @param since the log's time of its last record
		 * @param key the key of the call
		 * @param claimed the position of the claim in the log
		 * @param settled whether the last record was the outcome
		 */
		record ForClaim(Instant since, CallKey key, Position claimed, boolean settled) implements Expiry {

		}

		/**
		 * The crashes counted for a request.
		 *
		 * @param since the log's time of the last crash
		 * @param content the digest of the request
		 */
		record ForCrashRecord(Instant since, Digest content) implements Expiry {

		}

		/**
		 * The budget of a group.
		 *
		 * @param since the log's time of a reservation under its newest configuration
		 * @param group the group
		 */
		record ForBudget(Instant since, GroupName group) implements Expiry {

		}

	}

}
