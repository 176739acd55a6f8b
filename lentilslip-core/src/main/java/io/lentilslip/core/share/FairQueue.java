package io.lentilslip.core.share;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.lentilslip.core.configuration.ServiceClass;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ProgramId;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;

/**
 * A queue of the calls that wait for one upstream. It never holds more calls than its
 * bounds allow, and {@link #poll} finds a call as long as one waits whose deadline has
 * not passed. Each operation takes time logarithmic in the number of calls and groups; a
 * change of shares takes time linear in the groups. Immutable and safe for use by several
 * threads if the payloads are.
 *
 * @param <K> the type of the calls' identities
 * @param <T> the type of the calls' payloads
 */
public final class FairQueue<K, T> {

	private final Ordering ordering;

	private final QueueBounds bounds;

	private final Map<K, QueuedCall<K, T>> callsById;

	private final SortedMap<QueuePosition, QueuedCall<K, T>> byDeadline;

	private final Map<GroupName, Integer> callCounts;

	private final ProgramAccounts programs;

	private final Backlog<K, T> backlog;

	private final long lastSequence;

	private FairQueue(Ordering ordering, QueueBounds bounds, Map<K, QueuedCall<K, T>> calls,
			SortedMap<QueuePosition, QueuedCall<K, T>> byDeadline, Map<GroupName, Integer> sizes,
			ProgramAccounts programs, Backlog<K, T> backlog, long lastNumber) {
		this.ordering = ordering;
		this.bounds = bounds;
		this.callsById = calls;
		this.byDeadline = byDeadline;
		this.callCounts = sizes;
		this.programs = programs;
		this.backlog = backlog;
		this.lastSequence = lastNumber;
	}

	/**
	 * Returns an empty queue.
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls' payloads
	 * @param ordering the order of service
	 * @param shares the shares of groups
	 * @param bounds what the queue may hold at most
	 * @return a queue in which no call waits
	 */
	public static <K, T> FairQueue<K, T> create(Ordering ordering, Shares shares, QueueBounds bounds) {
		return new FairQueue<>(ordering, bounds, HashMap.empty(), TreeMap.empty(), HashMap.empty(),
				ProgramAccounts.withCapacity(bounds.maxPrograms()), Backlog.of(ordering, shares), 0);
	}

	/**
	 * Offers a call. When the queue holds as many calls as it may in all, a call of a
	 * group that has fewer waiting for its share than another displaces the last call of
	 * that other group.
	 * @param entry the call
	 * @return whether it was queued, and which call it displaced
	 * @throws IllegalArgumentException if a call with this identity waits already
	 */
	public OfferResult<K, T> offer(Entry<K, T> entry) {
		if (this.callsById.containsKey(entry.id())) {
			throw new IllegalArgumentException("waits already: " + entry.id());
		}
		if (size(entry.group()) >= this.bounds.of(entry.group())) {
			return new OfferResult.Rejected<>(Bound.GROUP_CALLS);
		}
		if (size() < this.bounds.maxCalls()) {
			return new OfferResult.Queued<>(with(entry), Optional.empty());
		}
		return this.backlog.findEviction(entry.group())
			.<OfferResult<K, T>>map((displaced) -> new OfferResult.Queued<>(without(displaced).with(entry),
					Optional.of(displaced.entry())))
			.orElseGet(() -> new OfferResult.Rejected<>(Bound.TOTAL_CALLS));
	}

	/**
	 * Takes out the call to be served next and charges its estimated cost. Calls whose
	 * deadline has passed are taken out first: they are never served.
	 * @param now the time
	 * @return the call, if one waits, and those whose deadline has passed
	 */
	public PollResult<K, T> poll(Instant now) {
		ExpiryResult<K, T> expired = removeExpired(now);
		return expired.queue().backlog.next()
			.map((call) -> new PollResult<>(expired.queue().served(call), Optional.of(call.entry()), expired.entries()))
			.orElseGet(() -> new PollResult<>(expired.queue(), Optional.empty(), expired.entries()));
	}

	/**
	 * Takes out a call that nobody wants any more.
	 * @param id the identity of the call
	 * @return the call, or an empty result if it does not wait
	 */
	public Optional<RemoveResult<K, T>> remove(K id) {
		return this.callsById.get(id).toJavaOptional().map((call) -> new RemoveResult<>(without(call), call.entry()));
	}

	/**
	 * Takes out the calls whose deadline has passed: those whose deadline is not after
	 * the time.
	 * @param now the time
	 * @return the calls in the order of their deadlines
	 */
	public ExpiryResult<K, T> removeExpired(Instant now) {
		FairQueue<K, T> queue = this;
		List<Entry<K, T>> entries = new ArrayList<>();
		while (queue.nextDeadline().filter((deadline) -> !deadline.isAfter(now)).isPresent()) {
			QueuedCall<K, T> call = queue.byDeadline.head()._2();
			entries.add(call.entry());
			queue = queue.without(call);
		}
		return new ExpiryResult<>(queue, entries);
	}

	/**
	 * Returns the earliest deadline of the waiting calls.
	 * @return the deadline, or an empty result if no call waits
	 */
	public Optional<Instant> nextDeadline() {
		return this.byDeadline.headOption().map((first) -> first._1().time()).toJavaOptional();
	}

	/**
	 * Corrects the charge of a call that was polled, once its cost is known.
	 * @param entry the call
	 * @param actualCost the cost of the service that it got, zero if it got none
	 * @return a queue that counts the actual cost in place of the estimate
	 */
	public FairQueue<K, T> settle(Entry<K, T> entry, long actualCost) {
		return charge(entry.group(), entry.program(), actualCost - entry.estimatedCost());
	}

	/**
	 * Charges service beyond that which {@link #poll} charged, or takes some back.
	 * @param group the group that got the service
	 * @param program the program that got the service, if it belongs to one
	 * @param cost the cost to add, negative to take some back
	 * @return a queue that counts the service
	 */
	public FairQueue<K, T> charge(GroupName group, Optional<ProgramId> program, long cost) {
		return with(this.backlog.charged(group, cost), charged(program, cost));
	}

	/**
	 * Forgets the service of a program that has ended.
	 * @param program the program
	 * @return a queue without an account of the program
	 */
	public FairQueue<K, T> removeProgram(ProgramId program) {
		return with(this.backlog, this.programs.without(program));
	}

	/**
	 * Returns this queue with other shares, which count for service from now on.
	 * @param shares the shares of groups
	 * @return a queue with the shares
	 */
	public FairQueue<K, T> withShares(Shares shares) {
		return with(this.backlog.withShares(shares), this.programs);
	}

	/**
	 * Returns this queue with other bounds. Calls that wait already stay, also when they
	 * are more than the bounds allow.
	 * @param changed what the queue may hold at most
	 * @return a queue with the bounds
	 */
	public FairQueue<K, T> withBounds(QueueBounds changed) {
		return new FairQueue<>(this.ordering, changed, this.callsById, this.byDeadline, this.callCounts,
				this.programs.resizedTo(changed.maxPrograms()), this.backlog, this.lastSequence);
	}

	/**
	 * Returns whether a call waits.
	 * @param id the identity of the call
	 * @return whether it waits
	 */
	public boolean contains(K id) {
		return this.callsById.containsKey(id);
	}

	/**
	 * Returns whether no call waits.
	 * @return whether no call waits
	 */
	public boolean isEmpty() {
		return this.callsById.isEmpty();
	}

	/**
	 * Returns the number of waiting calls.
	 * @return the number of calls
	 */
	public int size() {
		return this.callsById.size();
	}

	/**
	 * Returns the number of waiting calls of a group.
	 * @param group the group
	 * @return the number of its calls
	 */
	public int size(GroupName group) {
		return this.callCounts.getOrElse(group, 0);
	}

	/**
	 * Estimates how many of the waiting calls are served before a new one of a group.
	 * With fair shares that is far fewer than all, if others flood the queue.
	 * @param group the group of the new call
	 * @return the number of calls, if they all cost the same
	 */
	public int callsAheadOf(GroupName group) {
		return (int) Math.min(size(), this.backlog.callsAheadOf(group));
	}

	/**
	 * Returns the service that a program has attained, what is estimated included.
	 * @param program the program
	 * @return the cost charged to it, 0 for a program that is not remembered
	 */
	public long attainedService(ProgramId program) {
		return this.programs.find(program).map(ProgramAccounts.Account::attained).orElse(0L);
	}

	/**
	 * Returns the number of programs whose service is remembered.
	 * @return the number of programs
	 */
	public int trackedPrograms() {
		return this.programs.size();
	}

	private FairQueue<K, T> with(Entry<K, T> entry) {
		long number = this.lastSequence + 1;
		Optional<ProgramAccounts.Account> account = entry.program().flatMap(this.programs::find);
		Instant programArrived = account.map(ProgramAccounts.Account::arrived).orElse(entry.arrived());
		long attained = account.map(ProgramAccounts.Account::attained).orElse(0L);
		Instant rank = this.ordering.rank(entry.arrived(), programArrived, attained);
		QueuedCall<K, T> call = new QueuedCall<>(entry, new QueuePosition(rank, number),
				new QueuePosition(entry.deadline(), number));
		return new FairQueue<>(this.ordering, this.bounds, this.callsById.put(entry.id(), call),
				this.byDeadline.put(call.deadlinePosition(), call),
				this.callCounts.put(entry.group(), size(entry.group()) + 1), promised(entry), this.backlog.with(call),
				number);
	}

	private FairQueue<K, T> without(QueuedCall<K, T> call) {
		Entry<K, T> entry = call.entry();
		return withoutCall(call).with(this.backlog.without(call), charged(entry.program(), -entry.estimatedCost()));
	}

	private FairQueue<K, T> served(QueuedCall<K, T> call) {
		return withoutCall(call).with(this.backlog.served(call), this.programs);
	}

	private FairQueue<K, T> withoutCall(QueuedCall<K, T> call) {
		GroupName group = call.group();
		int left = size(group) - 1;
		return new FairQueue<>(this.ordering, this.bounds, this.callsById.remove(call.entry().id()),
				this.byDeadline.remove(call.deadlinePosition()),
				(left > 0) ? this.callCounts.put(group, left) : this.callCounts.remove(group), this.programs,
				this.backlog, this.lastSequence);
	}

	private FairQueue<K, T> with(Backlog<K, T> changedBacklog, ProgramAccounts changedPrograms) {
		return new FairQueue<>(this.ordering, this.bounds, this.callsById, this.byDeadline, this.callCounts,
				changedPrograms, changedBacklog, this.lastSequence);
	}

	private ProgramAccounts promised(Entry<K, T> entry) {
		return entry.program()
			.map((program) -> this.programs.reserve(program, entry.arrived(), entry.estimatedCost()))
			.orElse(this.programs);
	}

	private ProgramAccounts charged(Optional<ProgramId> program, long cost) {
		return program.map((known) -> this.programs.charged(known, cost)).orElse(this.programs);
	}

	/**
	 * A bound that keeps a call out.
	 */
	public enum Bound {

		/**
		 * The bound of the calls of one group.
		 */
		GROUP_CALLS,

		/**
		 * The bound of the calls of all groups together.
		 */
		TOTAL_CALLS

	}

	/**
	 * A call that waits.
	 *
	 * @param <K> the type of the identity
	 * @param <T> the type of the payload
	 * @param id the identity, which no other waiting call has
	 * @param group the group the call is charged to
	 * @param program the program of the call, if it belongs to one; a call without one
	 * counts as a program of its own
	 * @param serviceClass how urgent the call is within its group
	 * @param arrived when the call arrived
	 * @param deadline when the call must have been served
	 * @param cost the estimated cost of serving it
	 * @param payload what the caller of the queue keeps with the call
	 */
	public record Entry<K, T>(K id, GroupName group, Optional<ProgramId> program, ServiceClass serviceClass,
			Instant arrived, Instant deadline, long estimatedCost, T payload) {

		/**
		 * Creates a call.
		 * @param id the identity, which no other waiting call has
		 * @param group the group the call is charged to
		 * @param program the program of the call, if it belongs to one
		 * @param serviceClass how urgent the call is within its group
		 * @param arrived when the call arrived
		 * @param deadline when the call must have been served
		 * @param cost the estimated cost of serving it
		 * @param payload what the caller of the queue keeps with the call
		 * @throws IllegalArgumentException if the cost is not positive
		 */
		public Entry {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(group, "group");
			Objects.requireNonNull(program, "program");
			Objects.requireNonNull(serviceClass, "serviceClass");
			Objects.requireNonNull(arrived, "arrived");
			Objects.requireNonNull(deadline, "deadline");
			if (estimatedCost < 1) {
				throw new IllegalArgumentException("a cost must be positive, not " + estimatedCost);
			}
		}

	}

	/**
	 * What became of a call that was offered. Implementations are immutable and safe for
	 * use by several threads if the payloads are.
	 *
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls' payloads
	 */
	public sealed interface OfferResult<K, T> {

		/**
		 * A call that waits now.
		 *
		 * @param <K> the type of the calls' identities
		 * @param <T> the type of the calls' payloads
		 * @param queue the queue with the call
		 * @param displaced the call that had to leave for it: it did not run and will not
		 */
		record Queued<K, T>(FairQueue<K, T> queue, Optional<Entry<K, T>> evicted) implements OfferResult<K, T> {

		}

		/**
		 * A call that was not taken.
		 *
		 * @param <K> the type of the calls' identities
		 * @param <T> the type of the calls' payloads
		 * @param bound the bound that keeps it out
		 */
		record Rejected<K, T>(Bound bound) implements OfferResult<K, T> {

		}

	}

	/**
	 * The call to be served next. Immutable and safe for use by several threads if the
	 * payloads are.
	 *
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls' payloads
	 * @param queue the queue without the calls taken out
	 * @param entry the call, empty only if no call waits any more
	 * @param removeExpired the calls whose deadline has passed: they did not run and will
	 * not
	 */
	public record PollResult<K, T>(FairQueue<K, T> queue, Optional<Entry<K, T>> entry, List<Entry<K, T>> expired) {

		/**
		 * Creates a result.
		 * @param queue the queue without the calls taken out
		 * @param entry the call, empty only if no call waits any more
		 * @param removeExpired the calls whose deadline has passed
		 */
		public PollResult {
			expired = List.copyOf(expired);
		}

	}

	/**
	 * A call that was taken out. Immutable and safe for use by several threads if the
	 * payloads are.
	 *
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls' payloads
	 * @param queue the queue without the call
	 * @param entry the call: it did not run and will not
	 */
	public record RemoveResult<K, T>(FairQueue<K, T> queue, Entry<K, T> entry) {

	}

	/**
	 * Calls whose deadline has passed. Immutable and safe for use by several threads if
	 * the payloads are.
	 *
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls' payloads
	 * @param queue the queue without the calls
	 * @param entries the calls: they did not run and will not
	 */
	public record ExpiryResult<K, T>(FairQueue<K, T> queue, List<Entry<K, T>> entries) {

		/**
		 * Creates a result.
		 * @param queue the queue without the calls
		 * @param entries the calls: they did not run and will not
		 */
		public ExpiryResult {
			entries = List.copyOf(entries);
		}

	}

}
