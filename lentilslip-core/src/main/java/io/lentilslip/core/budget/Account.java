package io.lentilslip.core.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Queue;

/**
 * What an entry holds of the budget of one group in one period, and the calls of the
 * group. Tokens are available, or held by a running call, or on their way back. An
 * overdraft, of calls that took more than was held for them, is paid from the next slice
 * before any other call runs: then nothing is available. At most one record is under way,
 * so that the log sees the records of an entry in their order. Immutable and safe for use
 * by several threads.
 *
 * @param <K> the type of what identifies a call
 */
public final class Account<K> {

	/**
	 * The most calls that wait for a slice.
	 */
	public static final int MAX_WAITING_CALLS = 1000;

	/**
	 * How long tokens may lie unused before they go back.
	 */
	public static final Duration IDLE_TIMEOUT = Duration.ofSeconds(2);

	/**
	 * How often the log is asked for tokens that are not there, while calls wait.
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

	private final Instant decided;

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
		this.decided = draft.lastDecidedAt;
		this.sliceSize = draft.sliceSize;
		this.lastUsedAt = draft.lastUsedAt;
		this.exhausted = draft.exhausted;
	}

	/**
	 * Returns an account that holds nothing.
	 * @param <K> the type of what identifies a call
	 * @param period the length of a period
	 * @param periodIndex the number of the present period
	 * @return an empty account
	 */
	public static <K> Account<K> create(Duration period, long index) {
		return new Account<>(new Draft<>(period, index));
	}

	/**
	 * Returns this account in a period. What is available in an earlier one is dropped,
	 * an overdraft stays.
	 * @param length the length of a period
	 * @param number the number of the period
	 * @return the account, the same one unless the period is a later one
	 */
	public Account<K> advanceTo(Duration length, long number) {
		if (length.equals(this.period) && number <= this.periodIndex) {
			return this;
		}
		Draft<K> draft = new Draft<>(this);
		draft.period = length;
		draft.periodIndex = number;
		draft.available = 0;
		draft.tokensToReturn = 0;
		draft.exhausted = false;
		return new Account<>(draft);
	}

	/**
	 * Returns whether a call that comes now may run at once.
	 * @param tokens its estimate
	 * @return whether the slices pay for it and no call waits before it
	 */
	public boolean canHold(long tokens) {
		return this.waiting.isEmpty() && this.overdraft == 0 && this.available >= tokens;
	}

	/**
	 * Returns this account with a call that runs.
	 * @param call the call
	 * @param tokens its estimate, which must be available
	 * @param now the time of this process
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
	 * @return whether the bound is reached
	 */
	public boolean isFull() {
		return this.waiting.size() >= MAX_WAITING_CALLS;
	}

	/**
	 * Returns this account with a call that waits for a slice, behind the others.
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
	 * Returns the first waiting call if the slices pay for it.
	 * @return the call, or an empty result
	 */
	public Optional<WaitingCall<K>> nextReady() {
		return this.waiting.headOption()
			.filter((wish) -> this.overdraft == 0 && this.available >= wish.tokens())
			.toJavaOptional();
	}

	/**
	 * Returns the calls that wait for a slice, in their order.
	 * @return the calls
	 */
	public Queue<WaitingCall<K>> waiting() {
		return this.waiting;
	}

	/**
	 * Returns the estimate of a call that waits for a slice.
	 * @param call the call
	 * @return the tokens, 0 for a call that does not wait
	 */
	public long waitingTokensOf(K call) {
		return this.waiting.find((each) -> each.call().equals(call)).map(WaitingCall::tokens).getOrElse(0L);
	}

	/**
	 * Returns this account without a call that waited, if it did.
	 * @param call the call
	 * @return the account
	 */
	public Account<K> removeWaiting(K call) {
		Optional<WaitingCall<K>> wish = this.waiting.find((each) -> each.call().equals(call)).toJavaOptional();
		if (wish.isEmpty()) {
			return this;
		}
		Draft<K> draft = new Draft<>(this);
		draft.waiting = this.waiting.remove(wish.get());
		draft.waitingTokens = this.waitingTokens - wish.get().tokens();
		return new Account<>(draft);
	}

	/**
	 * Returns the tokens held for a running call.
	 * @param call the call
	 * @return the tokens, 0 for a call that does not run
	 */
	public long heldFor(K call) {
		return this.held.get(call).map(Hold::tokens).getOrElse(0L);
	}

	/**
	 * Returns this account after a running call has ended. What it did not take is
	 * available again if the period still lasts. What it took beyond its estimate is an
	 * overdraft.
	 * @param call the call
	 * @param tokens the tokens that it took
	 * @return the account
	 */
	public Account<K> settle(K call, long tokens) {
		Optional<Hold> ended = this.held.get(call).toJavaOptional();
		if (ended.isEmpty()) {
			return this;
		}
		long rest = ended.get().tokens() - tokens;
		boolean over = ended.get().index() != this.periodIndex || !ended.get().period().equals(this.period);
		Draft<K> draft = new Draft<>(this);
		draft.held = this.held.remove(call);
		draft.add((over) ? Math.min(0, rest) : rest);
		return new Account<>(draft);
	}

	/**
	 * Returns this account with a slice. A slice of a period that is over is dropped.
	 * @param length the length of a period
	 * @param number the number of the period that it was reserved in
	 * @param tokens the tokens
	 * @param now the time of this process
	 * @return the account
	 */
	public Account<K> addSlice(Duration length, long number, long tokens, Instant now) {
		Account<K> current = advanceTo(length, number);
		if (number < current.periodIndex) {
			return current;
		}
		Draft<K> draft = new Draft<>(current);
		draft.add(tokens);
		draft.sliceSize = new SliceSize(tokens, now);
		draft.lastUsedAt = now;
		return new Account<>(draft);
	}

	/**
	 * Returns the tokens to reserve for the waiting calls.
	 * @param left what is left of the budget, as far as is known
	 * @param limit the budget
	 * @param now the time of this process
	 * @return the tokens, or an empty result if none are needed or the log said a short
	 * time ago that none are left
	 */
	public Optional<Long> tokensToReserve(long left, long limit, Instant now) {
		if (this.waiting.isEmpty()) {
			return Optional.empty();
		}
		long lacking = this.overdraft - this.available;
		long first = this.waiting.head().tokens() + lacking;
		if (first > left) {
			return tokensBeyondRemaining(first, left, limit, now);
		}
		return Optional.of(first)
			.filter((tokens) -> tokens > 0)
			.map((tokens) -> this.sliceSize.nextSize(tokens, this.waitingTokens + lacking, left, limit, now));
	}

	// What is left goes to the overdraft at least: an overdraft greater than any budget
	// would else stop the group for ever. If nothing seems left, the log is asked now and
	// then all the same. A process that has read nothing new for long is late in the
	// log's time and would else refuse calls for a period that is over; the answer tells
	// it the time.
	private Optional<Long> tokensBeyondRemaining(long first, long left, long limit, Instant now) {
		if (this.overdraft > 0 && left > 0) {
			return Optional.of(Math.min(this.overdraft, left));
		}
		long least = (first > limit && this.overdraft > 0) ? Math.min(this.overdraft, limit) : first;
		boolean late = Duration.between(this.decided, now).compareTo(RETRY_INTERVAL) >= 0;
		return Optional.of(least).filter((tokens) -> late && tokens > 0 && tokens <= limit);
	}

	/**
	 * Returns whether a call can run in this period only if tokens are returned.
	 * @param tokens the estimate of the call
	 * @param left what is left of the budget, as far as is known
	 * @return whether it lacks tokens
	 */
	public boolean needsReturnedTokens(long tokens, long left) {
		return tokens + this.overdraft - this.available > left;
	}

	/**
	 * Returns this account with a record that was sent to the log.
	 * @param sequence the sequence of the record
	 * @param now the time of this process
	 * @return the account
	 */
	public Account<K> recordSent(long sequence, Instant now) {
		Draft<K> draft = new Draft<>(this);
		draft.inFlight = Optional.of(new PendingRecord(sequence, now));
		return new Account<>(draft);
	}

	/**
	 * Returns this account after the log decided on a record.
	 * @param sequence the sequence of the record
	 * @param now the time of this process
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
	 * Returns whether a record is under way.
	 * @param sequence the sequence of the record
	 * @return whether the log has not decided on it
	 */
	public boolean isInFlight(long sequence) {
		return this.inFlight.filter((question) -> question.sequence() == sequence).isPresent();
	}

	/**
	 * Returns since when a record is under way.
	 * @return when it was sent first, or an empty result if none is under way
	 */
	public Optional<Instant> inFlightSince() {
		return this.inFlight.map(PendingRecord::sent);
	}

	/**
	 * Returns this account after idle tokens were set aside to go back.
	 * @param now the time of this process
	 * @return the account
	 */
	public Account<K> releaseIfIdle(Instant now) {
		boolean idle = this.waiting.isEmpty() && Duration.between(this.lastUsedAt, now).compareTo(IDLE_TIMEOUT) >= 0;
		return (idle && this.available > 0) ? releaseAvailable() : this;
	}

	/**
	 * Returns this account with all that is available set aside to go back, for a budget
	 * that was lowered below what is reserved.
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
	 * Returns the tokens set aside to go back.
	 * @return the tokens
	 */
	public long tokensToReturn() {
		return this.tokensToReturn;
	}

	/**
	 * Returns this account after a record returned what was set aside.
	 * @param sequence the sequence of the record
	 * @param now the time of this process
	 * @return the account
	 */
	public Account<K> returnSent(long sequence, Instant now) {
		Draft<K> draft = new Draft<>(recordSent(sequence, now));
		draft.tokensToReturn = 0;
		return new Account<>(draft);
	}

	/**
	 * Returns this account after records of the log were lost: what they said of its
	 * slices is not known.
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
	 * Returns this account after a call was refused for the period.
	 * @return the account
	 */
	public Account<K> exhausted() {
		Draft<K> draft = new Draft<>(this);
		draft.exhausted = true;
		return new Account<>(draft);
	}

	/**
	 * Returns whether a call was refused for this period.
	 * @return whether the budget was found exhausted
	 */
	public boolean isExhausted() {
		return this.exhausted;
	}

	/**
	 * Returns the tokens that a call may take now.
	 * @return the tokens
	 */
	public long available() {
		return this.available;
	}

	/**
	 * Returns the tokens that calls took beyond what was held for them.
	 * @return the tokens
	 */
	public long overdraft() {
		return this.overdraft;
	}

	/**
	 * Returns the number of the period.
	 * @return the number
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
	 * A call that waits for a slice.
	 *
	 * @param <K> the type of what identifies a call
	 * @param call the call
	 * @param tokens its estimate
	 */
	public record WaitingCall<K>(K call, long tokens) {

	}

	/**
	 * A record that the log has not decided on.
	 *
	 * @param sequence its sequence
	 * @param sent when it was sent first
	 */
	private record PendingRecord(long sequence, Instant sent) {

	}

	/**
	 * The tokens that a running call holds.
	 *
	 * @param tokens the tokens
	 * @param period the length of the period they are of
	 * @param periodIndex the number of the period they are of
	 */
	private record Hold(long tokens, Duration period, long index) {

	}

	/**
	 * An account in the making. Confined to one method.
	 *
	 * @param <K> the type of what identifies a call
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

		Draft(Duration period, long index) {
			this.period = period;
			this.periodIndex = index;
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
			this.lastDecidedAt = account.decided;
			this.sliceSize = account.sliceSize;
			this.lastUsedAt = account.lastUsedAt;
			this.exhausted = account.exhausted;
		}

		// Adds tokens, which may be fewer than none, so that an overdraft is paid first.
		void add(long tokens) {
			long balance = this.available - this.overdraft + tokens;
			this.available = Math.max(0, balance);
			this.overdraft = Math.max(0, -balance);
		}

	}

}
