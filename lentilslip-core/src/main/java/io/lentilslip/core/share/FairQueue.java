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
 * Immutable queue of the calls waiting for one upstream. It never accepts more calls than
 * its bounds allow, and {@link #poll} returns a call whenever a waiting one has not
 * expired. Each operation takes time logarithmic in the number of calls and groups; a
 * change of shares takes time linear in the groups. Thread-safe if the payloads are.
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
	 * @param bounds the bounds of the queue
	 * @return an empty queue
	 */
	public static <K, T> FairQueue<K, T> create(Ordering ordering, Shares shares, QueueBounds bounds) {
		return new FairQueue<>(ordering, bounds, HashMap.empty(), TreeMap.empty(), HashMap.empty(),
				ProgramAccounts.withCapacity(bounds.maxPrograms()), Backlog.of(ordering, shares), 0);
	}

	/**
	 * Offers a call. If the queue is full, a call of a group with fewer waiting calls per
	 * share than another evicts the last call of the group with the most.
	 * @param entry the call
	 * @return whether it was queued, and which call it evicted
	 * @throws IllegalArgumentException if a call with this identity is already queued
	 */
	public OfferResult<K, T> offer(Entry<K, T> entry) {
		if (this.callsById.containsKey(entry.id())) {
			throw new IllegalArgumentException("call is already queued: " + entry.id());
		}
		if (size(entry.group()) >= this.bounds.of(entry.group())) {
			return new OfferResult.Rejected<>(Bound.GROUP_CALLS);
		}
		if (size() < this.bounds.maxCalls()) {
			return new OfferResult.Queued<>(with(entry), Optional.empty());
		}
		return this.backlog.findEviction(entry.group())
			.<OfferResult<K, T>>map(
					(evicted) -> new OfferResult.Queued<>(without(evicted).with(entry), Optional.of(evicted.entry())))
			.orElseGet(() -> new OfferResult.Rejected<>(Bound.TOTAL_CALLS));
	}

	/**
	 * Removes the call to be served next and charges its estimated cost. Expired calls
	 * are removed first and never served.
	 * @param now the time
	 * @return the call, if one is waiting, and the expired calls
	 */
	public PollResult<K, T> poll(Instant now) {
		ExpiryResult<K, T> expired = removeExpired(now);
		return expired.queue().backlog.next()
			.map((call) -> new PollResult<>(expired.queue().served(call), Optional.of(call.entry()), expired.entries()))
			.orElseGet(() -> new PollResult<>(expired.queue(), Optional.empty(), expired.entries()));
	}

	/**
	 * Removes a cancelled call.
	 * @param id the identity of the call
	 * @return the call, or an empty result if it is not queued
	 */
	public Optional<RemoveResult<K, T>> remove(K id) {
		return this.callsById.get(id).toJavaOptional().map((call) -> new RemoveResult<>(without(call), call.entry()));
	}

	/**
	 * Removes the expired calls: those whose deadline is not after the given time.
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
	 * @return the deadline, or an empty result if the queue is empty
	 */
	public Optional<Instant> nextDeadline() {
		return this.byDeadline.headOption().map((first) -> first._1().time()).toJavaOptional();
	}

	/**
	 * Replaces the estimated charge of a polled call by its actual cost.
	 * @param entry the call
	 * @param actualCost the cost of the service received, zero if none was
	 * @return a queue charged with the actual cost
	 */
	public FairQueue<K, T> settle(Entry<K, T> entry, long actualCost) {
		return charge(entry.group(), entry.program(), actualCost - entry.estimatedCost());
	}

	/**
	 * Adjusts the service charged to a group and a program.
	 * @param group the group that received the service
	 * @param program the program that received the service, if the call belongs to one
	 * @param cost the cost to add, negative for a refund
	 * @return the charged queue
	 */
	public FairQueue<K, T> charge(GroupName group, Optional<ProgramId> program, long cost) {
		return with(this.backlog.charged(group, cost), charged(program, cost));
	}

	/**
	 * Removes the account of a program that has ended.
	 * @param program the program
	 * @return a queue without an account of the program
	 */
	public FairQueue<K, T> removeProgram(ProgramId program) {
		return with(this.backlog, this.programs.without(program));
	}

	/**
	 * Returns this queue with other shares, which apply to service from now on.
	 * @param shares the shares of groups
	 * @return a queue with the shares
	 */
	public FairQueue<K, T> withShares(Shares shares) {
		return with(this.backlog.withShares(shares), this.programs);
	}

	/**
	 * Returns this queue with other bounds. Waiting calls stay queued even if they exceed
	 * the new bounds.
	 * @param changed the bounds of the queue
	 * @return a queue with the bounds
	 */
	public FairQueue<K, T> withBounds(QueueBounds changed) {
		return new FairQueue<>(this.ordering, changed, this.callsById, this.byDeadline, this.callCounts,
				this.programs.resizedTo(changed.maxPrograms()), this.backlog, this.lastSequence);
	}

	/**
	 * Returns whether a call is queued.
	 * @param id the identity of the call
	 * @return whether it is queued
	 */
	public boolean contains(K id) {
		return this.callsById.containsKey(id);
	}

	/**
	 * Returns whether the queue is empty.
	 * @return whether it has no waiting call
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
	 * @param group the group of the new call
	 * @return the number of calls, assuming equal costs
	 */
	public int callsAheadOf(GroupName group) {
		return (int) Math.min(size(), this.backlog.callsAheadOf(group));
	}

	/**
	 * Returns the service that a program has attained, including the estimates of its
	 * waiting and running calls.
	 * @param program the program
	 * @return the cost charged to it, 0 for a program without an account
	 */
	public long attainedService(ProgramId program) {
		return this.programs.find(program).map(ProgramAccounts.Account::attained).orElse(0L);
	}

	/**
	 * Returns the number of programs with an account.
	 * @return the number of programs
	 */
	public int trackedPrograms() {
		return this.programs.size();
	}

	private FairQueue<K, T> with(Entry<K, T> entry) {
		long sequence = this.lastSequence + 1;
		Optional<ProgramAccounts.Account> account = entry.program().flatMap(this.programs::find);
		Instant programArrived = account.map(ProgramAccounts.Account::arrived).orElse(entry.arrived());
		long attained = account.map(ProgramAccounts.Account::attained).orElse(0L);
		Instant rank = this.ordering.rank(entry.arrived(), programArrived, attained);
		QueuedCall<K, T> call = new QueuedCall<>(entry, new QueuePosition(rank, sequence),
				new QueuePosition(entry.deadline(), sequence));
		return new FairQueue<>(this.ordering, this.bounds, this.callsById.put(entry.id(), call),
				this.byDeadline.put(call.deadlinePosition(), call),
				this.callCounts.put(entry.group(), size(entry.group()) + 1), reserved(entry), this.backlog.with(call),
				sequence);
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
		int remaining = size(group) - 1;
		return new FairQueue<>(this.ordering, this.bounds, this.callsById.remove(call.entry().id()),
				this.byDeadline.remove(call.deadlinePosition()),
				(remaining > 0) ? this.callCounts.put(group, remaining) : this.callCounts.remove(group), this.programs,
				this.backlog, this.lastSequence);
	}

	private FairQueue<K, T> with(Backlog<K, T> changedBacklog, ProgramAccounts changedPrograms) {
		return new FairQueue<>(this.ordering, this.bounds, this.callsById, this.byDeadline, this.callCounts,
				changedPrograms, changedBacklog, this.lastSequence);
	}

	private ProgramAccounts reserved(Entry<K, T> entry) {
		return entry.program()
			.map((program) -> this.programs.reserve(program, entry.arrived(), entry.estimatedCost()))
			.orElse(this.programs);
	}

	private ProgramAccounts charged(Optional<ProgramId> program, long cost) {
		return program.map((known) -> this.programs.charged(known, cost)).orElse(this.programs);
	}

	/**
	 * Bound for which a call is rejected.
	 */
	public enum Bound {

		/**
		 * The bound on the waiting calls of one group.
		 */
		GROUP_CALLS,

		/**
		 * The bound on the waiting calls of all groups together.
		 */
		TOTAL_CALLS

	}

	/**
	 * A queued call.
	 *
	 * @param <K> the type of the identity
	 * @param <T> the type of the payload
	 * @param id the identity, unique among the queued calls
	 * @param group the group the call is charged to
	 * @param program the program of the call, if it belongs to one
	 * @param serviceClass how urgent the call is within its group
	 * @param arrived when the call arrived
	 * @param deadline the time at which the call expires
	 * @param estimatedCost the estimated cost of serving it
	 * @param payload an opaque value attached by the user of the queue
	 */
	public record Entry<K, T>(K id, GroupName group, Optional<ProgramId> program, ServiceClass serviceClass,
			Instant arrived, Instant deadline, long estimatedCost, T payload) {

		/**
		 * Creates a call.
		 * @param id the identity, unique among the queued calls
		 * @param group the group the call is charged to
		 * @param program the program of the call, if it belongs to one
		 * @param serviceClass how urgent the call is within its group
		 * @param arrived when the call arrived
		 * @param deadline the time at which the call expires
		 * @param estimatedCost the estimated cost of serving it
		 * @param payload an opaque value attached by the user of the queue
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
				throw new IllegalArgumentException("estimated cost must be positive: " + estimatedCost);
			}
		}

	}

	/**
	 * Result of offering a call. Implementations are immutable, and thread-safe if the
	 * payloads are.
	 *
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls' payloads
	 */
	public sealed interface OfferResult<K, T> {

		/**
		 * The call was queued.
		 *
		 * @param <K> the type of the calls' identities
		 * @param <T> the type of the calls' payloads
		 * @param queue the queue with the call
		 * @param evicted the call evicted for it, which will never be served
		 */
		record Queued<K, T>(FairQueue<K, T> queue, Optional<Entry<K, T>> evicted) implements OfferResult<K, T> {

		}

		/**
		 * The call was rejected.
		 *
		 * @param <K> the type of the calls' identities
		 * @param <T> the type of the calls' payloads
		 * @param bound the bound that was reached
		 */
		record Rejected<K, T>(Bound bound) implements OfferResult<K, T> {

		}

	}

	/**
	 * The call to be served next. Immutable, and thread-safe if the payloads are.
	 *
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls' payloads
	 * @param queue the queue without the removed calls
	 * @param entry the call, or an empty result if no call is left
	 * @param expired the expired calls, which will never be served
	 */
	public record PollResult<K, T>(FairQueue<K, T> queue, Optional<Entry<K, T>> entry, List<Entry<K, T>> expired) {

		/**
		 * Creates a result.
		 * @param queue the queue without the removed calls
		 * @param entry the call, or an empty result if no call is left
		 * @param expired the expired calls
		 */
		public PollResult {
			expired = List.copyOf(expired);
		}

	}

	/**
	 * A removed call. Immutable, and thread-safe if the payloads are.
	 *
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls' payloads
	 * @param queue the queue without the call
	 * @param entry the call, which will never be served
	 */
	public record RemoveResult<K, T>(FairQueue<K, T> queue, Entry<K, T> entry) {

	}

	/**
	 * Expired calls. Immutable, and thread-safe if the payloads are.
	 *
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls' payloads
	 * @param queue the queue without the calls
	 * @param entries the calls, which will never be served
	 */
	public record ExpiryResult<K, T>(FairQueue<K, T> queue, List<Entry<K, T>> entries) {

		/**
		 * Creates a result.
		 * @param queue the queue without the calls
		 * @param entries the calls, which will never be served
		 */
		public ExpiryResult {
			entries = List.copyOf(entries);
		}

	}

}
