package io.lentilslip.core.entry;

import java.time.Duration;
import java.util.Optional;

import io.lentilslip.core.budget.Account;
import io.lentilslip.core.budget.Estimate;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.ProgramCall;
import io.lentilslip.core.configuration.Budget;
import io.lentilslip.core.configuration.GroupPolicy;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.BudgetState;
import io.lentilslip.core.ledger.ClaimState;
import io.lentilslip.core.ledger.Ledger;
import io.lentilslip.core.ledger.LedgerChange;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.ProgramState;
import io.lentilslip.core.measurement.CollectionName;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;

/**
 * Rules for group budgets. A call of a group with a budget is admitted once the group's
 * reserved slices cover its estimated tokens; calls of other groups are admitted at once.
 * Confined to one application of the reducer.
 */
final class BudgetRules {

	/**
	 * How long a call waits for a slice: long enough for other entries to return the
	 * tokens they do not use.
	 */
	static final Duration SLICE_TIMEOUT = Account.IDLE_TIMEOUT.plusSeconds(2);

	/**
	 * The longest budget period that the log can track, bounded by its retention. Longer
	 * periods are divided into equal parts.
	 */
	static final Duration MAX_PERIOD = Ledger.RETENTION.minusHours(2);

	private static final Duration LOG_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final Draft draft;

	private final RouteRules routes;

	BudgetRules(Draft draft, RouteRules routes) {
		this.draft = draft;
		this.routes = routes;
	}

	/**
	 * Admits a call, queues it until a slice covers it, or refuses it.
	 * @param call a call that has not been sent
	 */
	void admit(Call call) {
		GroupName group = call.request().group();
		Optional<Terms> terms = termsOf(group);
		if (terms.isEmpty() || hasRecordedAnswer(call)) {
			this.routes.route(call);
			return;
		}
		long tokens = estimateOf(call.request());
		if (tokens == 0) {
			this.routes.route(call);
			return;
		}
		Account<Ticket> account = accountOf(group, terms.get());
		if (account.canHold(tokens)) {
			this.draft.put(group, account.hold(call.ticket(), tokens, this.draft.now));
			this.routes.route(call);
			return;
		}
		this.draft.put(group, account);
		Optional<CallFailure> refusal = refusalOf(group, terms.get(), account, tokens);
		if (refusal.isPresent()) {
			refuse(call, refusal.get());
			return;
		}
		this.draft.put(call.withPhase(new Call.Phase.Reserving()));
		this.draft.putAndAdvance(group, account.waiting(call.ticket(), tokens));
		this.draft.startTimer(SLICE_TIMEOUT, new Timer.SliceTimeout(call.ticket()));
	}

	private Optional<CallFailure> refusalOf(GroupName group, Terms terms, Account<Ticket> account, long tokens) {
		if (tokens > terms.limit()) {
			return Optional.of(CallFailure.notRun(FailureCause.BUDGET_EXHAUSTED,
					"The request may use more tokens than the whole budget of its group."));
		}
		if (!this.draft.log.isReachable()) {
			return Optional.of(logUnavailable());
		}
		if (account.isFull()) {
			return Optional.of(CallFailure
				.notRun(FailureCause.QUEUE_FULL, "Too many requests of this group are waiting for its budget.")
				.retryAfter(RETRY_AFTER));
		}
		if (account.isExhausted() && account.needsReturnedTokens(tokens, remainingOf(group, terms, account))) {
			return Optional.of(exhausted(terms));
		}
		return Optional.empty();
	}

	private static CallFailure logUnavailable() {
		return CallFailure
			.notRun(FailureCause.LOG_UNAVAILABLE,
					"The budget cannot be checked because the log is unreachable or does not respond.")
			.retryAfter(RETRY_AFTER);
	}

	private CallFailure exhausted(Terms terms) {
		return CallFailure
			.notRun(FailureCause.BUDGET_EXHAUSTED, "The budget of the group is exhausted for this period.")
			.retryAfter(untilPeriodEnd(terms));
	}

	private Duration untilPeriodEnd(Terms terms) {
		long length = terms.period().toMillis();
		return this.draft.logClock
			.map((clock) -> Duration
				.ofMillis(length - Math.floorMod(clock.logTime(this.draft.now).toEpochMilli(), length)))
			.orElse(RETRY_AFTER);
	}

	// A call with neither a key nor a number cannot be a retry. Any other call may
	// already have been sent by another entry, so its refusal has to consult the log.
	private void refuse(Call call, CallFailure failure) {
		boolean untracked = call.request().idempotencyKey().isEmpty()
				&& call.request().programCall().flatMap(ProgramCall::number).isEmpty();
		if (untracked) {
			new CompletionRules(this.draft).refuse(call, failure);
			return;
		}
		GroupName group = call.request().group();
		for (Account<Ticket> account : this.draft.accounts.get(group)) {
			this.draft.put(group, account.removeWaiting(call.ticket()));
		}
		this.routes.refuseUnsent(call, failure);
	}

	// A call with a recorded answer has been charged already, so a retry gets that answer
	// without another charge.
	private boolean hasRecordedAnswer(Call call) {
		Ledger ledger = this.draft.log.ledger();
		return switch (call.route()) {
			case Route.ForHome route -> {
				int last = ledger.program(route.program()).map(ProgramState::lastCall).orElse(0);
				yield call.request()
					.programCall()
					.flatMap(ProgramCall::number)
					.filter((number) -> number <= last)
					.isPresent();
			}
			case Route.ForClaim route -> ledger.claim(route.key()).flatMap(ClaimState::outcome).isPresent();
			case Route.ForAny route -> false;
		};
	}

	private long estimateOf(CallRequest request) {
		return switch (request) {
			case CallRequest.ForModel call -> Estimate.of(call, historyOf(call));
			case CallRequest.ForService call -> 0;
		};
	}

	private long historyOf(CallRequest.ForModel call) {
		Optional<ProgramId> program = call.programCall().map(ProgramCall::program);
		return program.flatMap(this.draft.log.ledger()::program).map(ProgramState::historyTokens).orElse(0L);
	}

	private Optional<Terms> termsOf(GroupName group) {
		if (this.draft.activeConfiguration.isEmpty()) {
			return Optional.empty();
		}
		ActiveConfiguration active = this.draft.activeConfiguration.get();
		Optional<Budget> budget = active.configuration().group(group).flatMap(GroupPolicy::budget);
		return budget.map((each) -> each.splitTo(MAX_PERIOD))
			.map((each) -> this.draft.log.ledger()
				.budget(group)
				.filter((state) -> state.configurationVersion() > active.version())
				.map((state) -> new Terms(state.limit(), state.period(), each, active.version()))
				.orElseGet(() -> new Terms(each.tokens(), each.period(), each, active.version())));
	}

	private Account<Ticket> accountOf(GroupName group, Terms terms) {
		long index = indexOf(group, terms);
		return this.draft.accounts.get(group)
			.map((account) -> account.advanceTo(terms.period(), index))
			.getOrElse(() -> Account.create(terms.period(), index));
	}

	private long indexOf(GroupName group, Terms terms) {
		long read = stateOf(group, terms).map(BudgetState::periodIndex).orElse(Long.MIN_VALUE);
		long now = this.draft.logClock
			.map((clock) -> BudgetState.indexAt(clock.logTime(this.draft.now), terms.period()))
			.orElse(Long.MIN_VALUE);
		return Math.max(read, now);
	}

	private Optional<BudgetState> stateOf(GroupName group, Terms terms) {
		return this.draft.log.ledger().budget(group).filter((state) -> state.period().equals(terms.period()));
	}

	private long remainingOf(GroupName group, Terms terms, Account<Ticket> account) {
		return Math.max(0, terms.limit() - reservedOf(group, terms, account.periodIndex()));
	}

	private long reservedOf(GroupName group, Terms terms, long index) {
		return stateOf(group, terms).filter((state) -> state.periodIndex() >= index)
			.map(BudgetState::reserved)
			.orElse(0L);
	}

	/**
	 * Handles a reservation made by this or another entry.
	 * @param change the reservation
	 * @param offset the offset of the record
	 */
	void sliceGranted(LedgerChange.SliceGranted change, long offset) {
		LedgerRecord.SliceReserved record = change.record();
		GroupName group = record.group();
		if (!record.entry().equals(this.draft.self) || termsOf(group).isEmpty()) {
			return;
		}
		Account<Ticket> account = accountOf(group, termsOf(group).get()).addSlice(change.state().period(),
				change.state().periodIndex(), record.tokens(), this.draft.now);
		putDecided(group, account, record.sequence());
		this.draft.report(NoticeCode.SLICE_RESERVED.with(FieldName.GROUP, group)
			.with(FieldName.TOKENS, record.tokens())
			.with(FieldName.OFFSET, offset)
			.with(FieldName.LIMIT, change.state().limit()));
	}

	/**
	 * Handles the return of a slice by this or another entry. The returned tokens may
	 * cover a waiting call.
	 * @param change the return
	 * @param offset the offset of the record
	 */
	void sliceReturned(LedgerChange.SliceReturned change, long offset) {
		LedgerRecord.SliceReturned record = change.record();
		boolean own = record.entry().equals(this.draft.self);
		for (Account<Ticket> account : this.draft.accounts.get(record.group())) {
			this.draft.putAndAdvance(record.group(),
					(own) ? account.decided(record.sequence(), this.draft.now) : account);
		}
		if (own) {
			this.draft.report(NoticeCode.SLICE_RETURNED.with(FieldName.GROUP, record.group())
				.with(FieldName.TOKENS, record.tokens())
				.with(FieldName.OFFSET, offset)
				.with(FieldName.REASON, "unused"));
		}
	}

	/**
	 * Handles a record that the ledger rejected, if this entry wrote it.
	 * @param record the record
	 */
	void recordVoided(LedgerRecord record) {
		switch (record) {
			case LedgerRecord.SliceReserved reserved when reserved.entry().equals(this.draft.self) ->
				recordVoided(reserved.group(), reserved.sequence());
			case LedgerRecord.SliceReturned returned when returned.entry().equals(this.draft.self) ->
				recordVoided(returned.group(), returned.sequence());
			default -> {
			}
		}
	}

	private void recordVoided(GroupName group, long sequence) {
		for (Account<Ticket> account : this.draft.accounts.get(group)) {
			putDecided(group, account, sequence);
		}
	}

	// Reserves the next slice immediately only if the ledger has reached the account's
	// period. Until then each reservation would be rejected and appended again, so the
	// next tick retries instead.
	private void putDecided(GroupName group, Account<Ticket> account, long sequence) {
		Account<Ticket> decided = account.decided(sequence, this.draft.now);
		this.draft.put(group, decided);
		if (this.draft.log.ledger()
			.budget(group)
			.filter((state) -> state.periodIndex() >= decided.periodIndex())
			.isPresent()) {
			this.draft.putAndAdvance(group, decided);
		}
	}

	/**
	 * Appends a slice record again while its decision is pending. The ledger voids
	 * duplicates.
	 * @param record the record
	 */
	void retryAppend(LedgerRecord record) {
		boolean wanted = switch (record) {
			case LedgerRecord.SliceReserved reserved ->
				this.draft.accounts.get(reserved.group()).exists((account) -> account.isInFlight(reserved.sequence()));
			case LedgerRecord.SliceReturned returned ->
				this.draft.accounts.get(returned.group()).exists((account) -> account.isInFlight(returned.sequence()));
			default -> false;
		};
		if (wanted) {
			this.draft.append(record);
		}
	}

	/**
	 * Refuses a call whose wait for a slice has timed out, or extends the wait if the
	 * budget can still cover the call.
	 * @param ticket the call
	 */
	void expireSliceWait(Ticket ticket) {
		Optional<Call> call = this.draft.call(ticket).filter((each) -> each.phase() instanceof Call.Phase.Reserving);
		if (call.isEmpty()) {
			return;
		}
		GroupName group = call.get().request().group();
		Optional<Terms> terms = termsOf(group);
		if (terms.isEmpty()) {
			return;
		}
		Account<Ticket> account = accountOf(group, terms.get());
		boolean unresponsive = account.inFlightSince()
			.filter((since) -> Duration.between(since, this.draft.now).compareTo(LOG_TIMEOUT) >= 0)
			.isPresent();
		if (unresponsive || !this.draft.log.isReachable()) {
			refuse(call.get(), logUnavailable());
			return;
		}
		long left = remainingOf(group, terms.get(), account);
		if (account.inFlightSince().isPresent()
				|| !account.needsReturnedTokens(account.waitingTokensOf(ticket), left)) {
			// The log responds and the budget may still cover the call: earlier calls are
			// served first.
			this.draft.putAndAdvance(group, account);
			this.draft.startTimer(LOG_TIMEOUT, new Timer.SliceTimeout(ticket));
			return;
		}
		if (!account.isExhausted()) {
			this.draft.report(NoticeCode.BUDGET_EXHAUSTED.with(FieldName.GROUP, group)
				.with(FieldName.COUNT, reservedOf(group, terms.get(), account.periodIndex()))
				.with(FieldName.LIMIT, terms.get().limit()));
		}
		this.draft.put(group, account.exhausted());
		refuse(call.get(), exhausted(terms.get()));
	}

	/**
	 * Applies a new configuration, which may remove a budget or lower it below the tokens
	 * already reserved.
	 */
	void configurationChanged() {
		for (GroupName group : this.draft.accounts.keySet()) {
			Account<Ticket> account = this.draft.accounts.get(group).get();
			Optional<Terms> terms = termsOf(group);
			if (terms.isPresent()) {
				Account<Ticket> current = accountOf(group, terms.get());
				boolean over = reservedOf(group, terms.get(), current.periodIndex()) > terms.get().limit();
				account = (over) ? current.releaseAvailable() : current;
			}
			this.draft.putAndAdvance(group, account);
		}
	}

	/**
	 * Releases idle slices and checks whether waiting calls can proceed in a new period.
	 */
	void tick() {
		for (GroupName group : this.draft.accounts.keySet()) {
			Account<Ticket> account = this.draft.accounts.get(group).get();
			Account<Ticket> current = termsOf(group).map((terms) -> accountOf(group, terms)).orElse(account);
			this.draft.putAndAdvance(group, current.releaseIfIdle(this.draft.now));
		}
	}

	void measure() {
		this.draft.activeConfiguration.ifPresent((active) -> active.configuration().groups().forEach(this::measure));
		this.draft.measure(new Measurement.CollectionSize(CollectionName.BUDGET_SLICES,
				this.draft.accounts.values().count(Account::hasSlice), 0));
	}

	private void measure(GroupPolicy group) {
		termsOf(group.name()).ifPresent((terms) -> this.draft.measure(new Measurement.BudgetUse(group.name(),
				reservedOf(group.name(), terms, indexOf(group.name(), terms)), terms.limit())));
	}

	/**
	 * Admits the waiting calls that slices cover in all changed accounts, and appends the
	 * reservations and returns that follow.
	 */
	void advance() {
		while (!this.draft.changedAccounts.isEmpty()) {
			GroupName group = this.draft.changedAccounts.head();
			this.draft.changedAccounts = this.draft.changedAccounts.remove(group);
			Optional<Terms> terms = termsOf(group);
			if (terms.isPresent()) {
				advance(group, terms.get());
			}
			else {
				releaseWaitingCalls(group);
			}
		}
	}

	private void advance(GroupName group, Terms terms) {
		Account<Ticket> account = accountOf(group, terms);
		Optional<Account.WaitingCall<Ticket>> ready = account.nextReady();
		while (ready.isPresent()) {
			Ticket ticket = ready.get().call();
			this.draft.put(group, account.removeWaiting(ticket).hold(ticket, ready.get().tokens(), this.draft.now));
			this.draft.call(ticket).ifPresent(this.routes::route);
			account = accountOf(group, terms);
			ready = account.nextReady();
		}
		this.draft.put(group, account);
		appendSliceRecord(group, terms, account);
	}

	private void appendSliceRecord(GroupName group, Terms terms, Account<Ticket> account) {
		if (account.inFlightSince().isPresent() || !this.draft.log.isReachable()) {
			return;
		}
		if (account.tokensToReturn() > 0) {
			long sequence = this.draft.nextNumber();
			this.draft.put(group, account.returnSent(sequence, this.draft.now));
			this.draft.append(new LedgerRecord.SliceReturned(group, account.periodIndex(), account.tokensToReturn(),
					this.draft.self, sequence));
			return;
		}
		Optional<Long> tokens = account.tokensToReserve(remainingOf(group, terms, account), terms.limit(),
				this.draft.now);
		if (tokens.isPresent()) {
			long sequence = this.draft.nextNumber();
			this.draft.put(group, account.recordSent(sequence, this.draft.now));
			this.draft.append(new LedgerRecord.SliceReserved(group, tokens.get(), terms.configured().tokens(),
					terms.configured().period(), terms.version(), this.draft.self, sequence));
		}
	}

	// Admits all waiting calls of a group whose budget was removed.
	private void releaseWaitingCalls(GroupName group) {
		Optional<Account<Ticket>> account = this.draft.accounts.get(group).toJavaOptional();
		this.draft.accounts = this.draft.accounts.remove(group);
		account.ifPresent(
				(each) -> each.waiting().forEach((wish) -> this.draft.call(wish.call()).ifPresent(this.routes::route)));
	}

	/**
	 * Budget of a group as known to this entry.
	 *
	 * @param limit the tokens per period in the newest configuration seen, either this
	 * entry's or one in the log
	 * @param period the length of a period in that configuration
	 * @param configured the budget in this entry's configuration
	 * @param version the version of this entry's configuration
	 */
	private record Terms(long limit, Duration period, Budget configured, long version) {

	}

}
