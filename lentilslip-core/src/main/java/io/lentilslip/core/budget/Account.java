package io.lentilslip.core.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Queue;

/**
 * Immutable account of the slices that an entry has reserved from the budget of one group
 * in one period, and of the calls they pay for. Tokens are available, held for a running
 * call, or to be returned to the budget. If calls use more than was held for them, the
 * overdraft is paid from the next slice before another call runs; no tokens are available
 * while there is an overdraft. At most one record is in flight, which keeps the records
 * of an entry in order in the log. Thread-safe.
 *
 * @param <K> the type of the calls' identities
 */
public final class Account<K> {

	/**
	 * The maximum number of calls waiting for a slice.
	 */
	public static final int MAX_WAITING_CALLS = 1000;

	/**
	 * The time after which unused tokens are returned to the budget.
	 */
	public static final Duration IDLE_TIMEOUT = Duration.ofSeconds(2);

	/**
	 * The interval between attempts to reserve tokens while the budget appears exhausted
	 * and calls are waiting.
	 */
	public static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

	private final Duration period;

	private final long periodIndex;

	private final long available;

	private final long overdraft;

	private final long tokensToReturn;

	private final Map<K, Hold> held;

	private final Queue<WaitingCall<K>> waiting;

	private final long waitingTokens;

	private final Optional<PendingRecord> inFlight;

	private final Instant lastDecidedAt;

	private final SliceSize sliceSize;

	private final Instant lastUsedAt;

	private final boolean exhausted;

	private Account(Draft<K> draft) {
		this.period = draft.period;
		this.periodIndex = draft.periodIndex;
		this.available = draft.available;
		this.overdraft = draft.overdraft;
		this.tokensToReturn = draft.tokensToReturn;
		this.held = draft.held;
		this.waiting = draft.waiting;
		this.waitingTokens = draft.waitingTokens;
		this.inFlight = draft.inFlight;
		this.lastDecidedAt = draft.lastDecidedAt;
		this.sliceSize = draft.sliceSize;
		this.lastUsedAt = draft.lastUsedAt;
		this.exhausted = draft.exhausted;
	}

	/**
	 * Returns an empty account.
	 * @param <K> the type of the calls' identities
	 * @param period the length of a period
	 * @param periodIndex the index of the current period
	 * @return an empty account
	 */
	public static <K> Account<K> create(Duration period, long periodIndex) {
		return new Account<>(new Draft<>(period, periodIndex));
	}

	/**
	 * Returns this account in a period. Available tokens of an earlier period expire; an
	 * overdraft is carried over.
	 * @param length the length of a period
	 * @param index the index of the period
	 * @return the account, unchanged unless the period is later
	 */
	public Account<K> advanceTo(Duration length, long index) {
		if (length.equals(this.period) && index <= this.periodIndex) {
			return this;
		}
		Draft<K> draft = new Draft<>(this);
		draft.period = length;
		draft.periodIndex = index;
		draft.available = 0;
		draft.tokensToReturn = 0;
		draft.exhausted = false;
		return new Account<>(draft);
	}

	/**
	 * Returns whether a new call may run at once.
	 * @param tokens its estimate
	 * @return whether its tokens are available and no call is waiting
	 */
	public boolean canHold(long tokens) {
		return this.waiting.isEmpty() && this.overdraft == 0 && this.available >= tokens;
	}

	/**
	 * Returns this account after holding tokens for a running call.
	 * @param call the call
	 * @param tokens its estimate, which must be available
	 * @param now the local time
	 * @return the account
	 */
	public Account<K> hold(K call, long tokens, Instant now) {
		Draft<K> draft = new Draft<>(this);
		draft.available = this.available - tokens;
		draft.held = this.held.put(call, new Hold(tokens, this.period, this.periodIndex));
		draft.lastUsedAt = now;
		return new Account<>(draft);
	}

	/**
	 * Returns whether no further call may wait.
	 * @return whether the maximum is reached
	 */
	public boolean isFull() {
		return this.waiting.size() >= MAX_WAITING_CALLS;
	}

	/**
	 * Returns this account with a call appended to those waiting for a slice.
	 * @param call the call
	 * @param tokens its estimate
	 * @return the account
	 */
	public Account<K> waiting(K call, long tokens) {
		Draft<K> draft = new Draft<>(this);
		draft.waiting = this.waiting.enqueue(new WaitingCall<>(call, tokens));
		draft.waitingTokens = this.waitingTokens + tokens;
		return new Account<>(draft);
	}

	/**
	 * Returns the first waiting call if its tokens are available.
	 * @return the call, or an empty result
	 */
	public Optional<WaitingCall<K>> nextReady() {
		return this.waiting.headOption()
			.filter((call) -> this.overdraft == 0 && this.available >= call.tokens())
			.toJavaOptional();
	}

	/**
	 * Returns the calls waiting for a slice in their order.
	 * @return the calls
	 */
	public Queue<WaitingCall<K>> waiting() {
		return this.waiting;
	}

	/**
	 * Returns the estimate of a call waiting for a slice.
	 * @param call the call
	 * @return the tokens, or 0 if the call is not waiting
	 */
	public long waitingTokensOf(K call) {
		return this.waiting.find((waitingCall) -> waitingCall.call().equals(call))
			.map(WaitingCall::tokens)
			.getOrElse(0L);
	}

	/**
	 * Returns this account without a waiting call, if it is waiting.
	 * @param call the call
	 * @return the account
	 */
	public Account<K> removeWaiting(K call) {
		Optional<WaitingCall<K>> removed = this.waiting.find((waitingCall) -> waitingCall.call().equals(call))
			.toJavaOptional();
		if (removed.isEmpty()) {
			return this;
		}
		Draft<K> draft = new Draft<>(this);
		draft.waiting = this.waiting.remove(removed.get());
		draft.waitingTokens = this.waitingTokens - removed.get().tokens();
		return new Account<>(draft);
	}

	/**
	 * Returns the tokens held for a running call.
	 * @param call the call
	 * @return the tokens, or 0 if the call is not running
	 */
	public long heldFor(K call) {
		return this.held.get(call).map(Hold::tokens).getOrElse(0L);
	}

	/**
	 * Returns this account after a running call has ended. Unused tokens become available
	 * again if the period has not ended; tokens used beyond the estimate become an
	 * overdraft.
	 * @param call the call
	 * @param tokens the tokens that it used
	 * @return the account
	 */
	public Account<K> settle(K call, long tokens) {
		Optional<Hold> ended = this.held.get(call).toJavaOptional();
		if (ended.isEmpty()) {
			return this;
		}
		long unused = ended.get().tokens() - tokens;
		boolean periodEnded = ended.get().periodIndex() != this.periodIndex
				|| !ended.get().period().equals(this.period);
		Draft<K> draft = new Draft<>(this);
		draft.held = this.held.remove(call);
		draft.add((periodEnded) ? Math.min(0, unused) : unused);
		return new Account<>(draft);
	}

	/**
	 * Returns this account with a reserved slice. A slice of an earlier period is
	 * ignored.
	 * @param length the length of a period
	 * @param index the index of the period in which it was reserved
	 * @param tokens the tokens
	 * @param now the local time
	 * @return the account
	 */
	public Account<K> addSlice(Duration length, long index, long tokens, Instant now) {
		Account<K> current = advanceTo(length, index);
		if (index < current.periodIndex) {
			return current;
		}
		Draft<K> draft = new Draft<>(current);
		draft.add(tokens);
		draft.sliceSize = new SliceSize(tokens, now);
		draft.lastUsedAt = now;
		return new Account<>(draft);
	}

	/**
	 * Returns the number of tokens to reserve for the waiting calls.
	 * @param remaining the known remainder of the budget
	 * @param limit the budget
	 * @param now the local time
	 * @return the tokens, or an empty result if none are needed, or if the budget appears
	 * exhausted and the retry interval has not elapsed
	 */
	public Optional<Long> tokensToReserve(long remaining, long limit, Instant now) {
		if (this.waiting.isEmpty()) {
			return Optional.empty();
		}
		long deficit = this.overdraft - this.available;
		long firstCall = this.waiting.head().tokens() + deficit;
		if (firstCall > remaining) {
			return tokensBeyondRemaining(firstCall, remaining, limit, now);
		}
		return Optional.of(firstCall)
			.filter((tokens) -> tokens > 0)
			.map((tokens) -> this.sliceSize.nextSize(tokens, this.waitingTokens + deficit, remaining, limit, now));
	}

	// The remainder of the budget is applied to the overdraft; otherwise an overdraft
	// greater than the budget would block the group permanently. A reservation is
	// attempted at intervals even if the budget appears exhausted: the estimated log
	// time of a process that reads no records may lag behind, and the response to the
	// attempt updates it.
	private Optional<Long> tokensBeyondRemaining(long firstCall, long remaining, long limit, Instant now) {
		if (this.overdraft > 0 && remaining > 0) {
			return Optional.of(Math.min(this.overdraft, remaining));
		}
		long requested = (firstCall > limit && this.overdraft > 0) ? Math.min(this.overdraft, limit) : firstCall;
		boolean retryDue = Duration.between(this.lastDecidedAt, now).compareTo(RETRY_INTERVAL) >= 0;
		return Optional.of(requested).filter((tokens) -> retryDue && tokens > 0 && tokens <= limit);
	}

	/**
	 * Returns whether a call can run in this period only if other entries return tokens.
	 * @param tokens the estimate of the call
	 * @param remaining the known remainder of the budget
	 * @return whether the remaining budget is insufficient
	 */
	public boolean needsReturnedTokens(long tokens, long remaining) {
		return tokens + this.overdraft - this.available > remaining;
	}

	/**
	 * Returns this account with a record in flight to the log.
	 * @param sequence the sequence number of the record
	 * @param now the local time
	 * @return the account
	 */
	public Account<K> recordSent(long sequence, Instant now) {
		Draft<K> draft = new Draft<>(this);
		draft.inFlight = Optional.of(new PendingRecord(sequence, now));
		return new Account<>(draft);
	}

	/**
	 * Returns this account after the result of a record was read from the log.
	 * @param sequence the sequence number of the record
	 * @param now the local time
	 * @return the account
	 */
	public Account<K> decided(long sequence, Instant now) {
		if (!isInFlight(sequence)) {
			return this;
		}
		Draft<K> draft = new Draft<>(this);
		draft.inFlight = Optional.empty();
		draft.lastDecidedAt = now;
		return new Account<>(draft);
	}

	/**
	 * Returns whether a record is in flight.
	 * @param sequence the sequence number of the record
	 * @return whether its result has not been read
	 */
	public boolean isInFlight(long sequence) {
		return this.inFlight.filter((pending) -> pending.sequence() == sequence).isPresent();
	}

	/**
	 * Returns when the record in flight was first sent.
	 * @return the time, or an empty result if no record is in flight
	 */
	public Optional<Instant> inFlightSince() {
		return this.inFlight.map(PendingRecord::sentAt);
	}

	/**
	 * Returns this account with its available tokens to be returned if they have been
	 * idle.
	 * @param now the local time
	 * @return the account
	 */
	public Account<K> releaseIfIdle(Instant now) {
		boolean idle = this.waiting.isEmpty() && Duration.between(this.lastUsedAt, now).compareTo(IDLE_TIMEOUT) >= 0;
		return (idle && this.available > 0) ? releaseAvailable() : this;
	}

	/**
	 * Returns this account with all available tokens to be returned, such as after the
	 * budget was lowered below the reserved tokens.
	 * @return the account
	 */
	public Account<K> releaseAvailable() {
		Draft<K> draft = new Draft<>(this);
		draft.tokensToReturn = this.tokensToReturn + this.available;
		draft.available = 0;
		draft.sliceSize = SliceSize.INITIAL;
		return new Account<>(draft);
	}

	/**
	 * Returns the tokens to be returned to the budget.
	 * @return the tokens
	 */
	public long tokensToReturn() {
		return this.tokensToReturn;
	}

	/**
	 * Returns this account with a record in flight that returns tokens to the budget.
	 * @param sequence the sequence number of the record
	 * @param now the local time
	 * @return the account
	 */
	public Account<K> returnSent(long sequence, Instant now) {
		Draft<K> draft = new Draft<>(recordSent(sequence, now));
		draft.tokensToReturn = 0;
		return new Account<>(draft);
	}

	/**
	 * Returns this account after log records were lost, which leaves the state of its
	 * slices unknown.
	 * @return the account without slices
	 */
	public Account<K> discardSlices() {
		Draft<K> draft = new Draft<>(this);
		draft.available = 0;
		draft.tokensToReturn = 0;
		draft.inFlight = Optional.empty();
		return new Account<>(draft);
	}

	/**
	 * Returns this account after a call was rejected because the budget of the period is
	 * exhausted.
	 * @return the account
	 */
	public Account<K> exhausted() {
		Draft<K> draft = new Draft<>(this);
		draft.exhausted = true;
		return new Account<>(draft);
	}

	/**
	 * Returns whether a call was rejected in this period.
	 * @return whether the budget is exhausted
	 */
	public boolean isExhausted() {
		return this.exhausted;
	}

	/**
	 * Returns the tokens that are available to new calls.
	 * @return the tokens
	 */
	public long available() {
		return this.available;
	}

	/**
	 * Returns the tokens used beyond those held for calls.
	 * @return the tokens
	 */
	public long overdraft() {
		return this.overdraft;
	}

	/**
	 * Returns the index of the period.
	 * @return the index
	 */
	public long periodIndex() {
		return this.periodIndex;
	}

	/**
	 * Returns whether tokens are available or held.
	 * @return whether the account has a slice
	 */
	public boolean hasSlice() {
		return this.available > 0 || !this.held.isEmpty();
	}

	/**
	 * A call waiting for a slice.
	 *
	 * @param <K> the type of the calls' identities
	 * @param call the call
	 * @param tokens its estimate
	 */
	public record WaitingCall<K>(K call, long tokens) {

	}

	/**
	 * A record whose result has not been read from the log.
	 *
	 * @param sequence its sequence number
	 * @param sentAt when it was first sent
	 */
	private record PendingRecord(long sequence, Instant sentAt) {

	}

	/**
	 * Tokens held for a running call.
	 *
	 * @param tokens the tokens
	 * @param period the length of the period they were reserved in
	 * @param periodIndex the index of the period they were reserved in
	 */
	private record Hold(long tokens, Duration period, long periodIndex) {

	}

	/**
	 * Mutable copy of an account. Confined to one method.
	 *
	 * @param <K> the type of the calls' identities
	 */
	private static final class Draft<K> {

		private Duration period;

		private long periodIndex;

		private long available;

		private long overdraft;

		private long tokensToReturn;

		private Map<K, Hold> held = HashMap.empty();

		private Queue<WaitingCall<K>> waiting = Queue.empty();

		private long waitingTokens;

		private Optional<PendingRecord> inFlight = Optional.empty();

		private Instant lastDecidedAt = Instant.EPOCH;

		private SliceSize sliceSize = SliceSize.INITIAL;

		private Instant lastUsedAt = Instant.EPOCH;

		private boolean exhausted;

		Draft(Duration period, long periodIndex) {
			this.period = period;
			this.periodIndex = periodIndex;
		}

		Draft(Account<K> account) {
			this.period = account.period;
			this.periodIndex = account.periodIndex;
			this.available = account.available;
			this.overdraft = account.overdraft;
			this.tokensToReturn = account.tokensToReturn;
			this.held = account.held;
			this.waiting = account.waiting;
			this.waitingTokens = account.waitingTokens;
			this.inFlight = account.inFlight;
			this.lastDecidedAt = account.lastDecidedAt;
			this.sliceSize = account.sliceSize;
			this.lastUsedAt = account.lastUsedAt;
			this.exhausted = account.exhausted;
		}

		// Adds tokens, or subtracts them if negative. An overdraft is paid first.
		void add(long tokens) {
			long balance = this.available - this.overdraft + tokens;
			this.available = Math.max(0, balance);
			this.overdraft = Math.max(0, -balance);
		}

	}

}
