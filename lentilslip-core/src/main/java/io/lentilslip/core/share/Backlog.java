package io.lentilslip.core.share;

import java.util.Optional;

import io.lentilslip.core.identity.GroupName;
import io.vavr.Tuple2;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.SortedMap;
import io.vavr.collection.SortedSet;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;

/**
 * Immutable queue of waiting calls in their order of service. Each operation takes time
 * logarithmic in the number of calls and groups. Implementations are thread-safe.
 *
 * @param <K> the type of the calls' identities
 * @param <T> the type of the calls
 */
sealed interface Backlog<K, T> {

	/**
	 * Returns an empty backlog.
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls
	 * @param ordering the order of service
	 * @param shares the shares of groups
	 * @return a backlog without calls
	 */
	static <K, T> Backlog<K, T> of(Ordering ordering, Shares shares) {
		return switch (ordering) {
			case Ordering.FairShare fair -> FairShareQueues.empty(fair, shares);
			case Ordering.FirstComeFirstServed firstCome -> new SingleQueue<>(TreeMap.empty());
			case Ordering.ProgramFirstCome programFirstCome -> new SingleQueue<>(TreeMap.empty());
		};
	}

	/**
	 * Returns this backlog with one more call.
	 * @param call the call
	 * @return a backlog with the call
	 */
	Backlog<K, T> with(QueuedCall<K, T> call);

	/**
	 * Returns this backlog without a call that was not served.
	 * @param call the call
	 * @return a backlog without the call
	 */
	Backlog<K, T> without(QueuedCall<K, T> call);

	/**
	 * Returns this backlog without a call that is served, after charging its estimated
	 * cost to its group.
	 * @param call the call
	 * @return a backlog without the call
	 */
	Backlog<K, T> served(QueuedCall<K, T> call);

	/**
	 * Returns the call to be served next.
	 * @return the call, or an empty result if no call waits
	 */
	Optional<QueuedCall<K, T>> next();

	/**
	 * Returns the waiting call to evict for a new one when the queue is full.
	 * @param newcomer the group of the new call
	 * @return the call to evict, or an empty result if the new one is to be rejected
	 */
	Optional<QueuedCall<K, T>> findEviction(GroupName newcomer);

	/**
	 * Estimates how many of the waiting calls are served before a new one.
	 * @param newcomer the group of the new call
	 * @return the number of calls, assuming equal costs
	 */
	long callsAheadOf(GroupName newcomer);

	/**
	 * Returns this backlog after charging service to a group.
	 * @param group the group
	 * @param cost the cost of the service, negative for a refund
	 * @return the charged backlog
	 */
	Backlog<K, T> charged(GroupName group, long cost);

	/**
	 * Returns this backlog with other shares, which apply to service from now on.
	 * @param shares the shares of groups
	 * @return a backlog with the shares
	 */
	Backlog<K, T> withShares(Shares shares);

	/**
	 * Backlog in a single queue for the calls of all groups.
	 *
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls
	 * @param calls the calls in their order of service
	 */
	record SingleQueue<K, T>(SortedMap<QueuePosition, QueuedCall<K, T>> calls) implements Backlog<K, T> {

		@Override
		public Backlog<K, T> with(QueuedCall<K, T> call) {
			return new SingleQueue<>(this.calls.put(call.position(), call));
		}

		@Override
		public Backlog<K, T> without(QueuedCall<K, T> call) {
			return new SingleQueue<>(this.calls.remove(call.position()));
		}

		@Override
		public Backlog<K, T> served(QueuedCall<K, T> call) {
			return without(call);
		}

		@Override
		public Optional<QueuedCall<K, T>> next() {
			return this.calls.headOption().map(Tuple2::_2).toJavaOptional();
		}

		@Override
		public Optional<QueuedCall<K, T>> findEviction(GroupName newcomer) {
			return Optional.empty();
		}

		@Override
		public long callsAheadOf(GroupName newcomer) {
			return this.calls.size();
		}

		@Override
		public Backlog<K, T> charged(GroupName group, long cost) {
			return this;
		}

		@Override
		public Backlog<K, T> withShares(Shares shares) {
			return this;
		}

	}

	/**
	 * Backlog with a queue for each group and service class, scheduled by weighted fair
	 * queueing. The normalized service of a group is the service it received divided by
	 * its share; the group with the least is served first. When an idle group becomes
	 * backlogged, its normalized service is raised to the least among the backlogged
	 * groups. Otherwise a long idle group would accumulate credit without bound and
	 * starve the others.
	 *
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls
	 * @param ordering the order within a group
	 * @param shares the shares of groups
	 * @param groups the queues of groups that are backlogged or have been served
	 * @param serviceOrder the backlogged groups in their order of service
	 * @param loadOrder the backlogged groups in the order of their waiting calls per
	 * share
	 * @param backloggedShares the sum of the shares of the backlogged groups
	 * @param idleVirtualTime the normalized service of the group that was backlogged last
	 * before the backlog became empty
	 * @param servedCalls the number of calls served
	 */
	record FairShareQueues<K, T>(Ordering.FairShare ordering, Shares shares, Map<GroupName, GroupQueues<K, T>> groups,
			SortedSet<GroupRank> serviceOrder, SortedSet<GroupLoad> loadOrder, long backloggedShares,
			double idleVirtualTime, long servedCalls) implements Backlog<K, T> {

		private static <K, T> Backlog<K, T> empty(Ordering.FairShare ordering, Shares shares) {
			return new FairShareQueues<>(ordering, shares, HashMap.empty(), TreeSet.empty(), TreeSet.empty(), 0, 0, 0);
		}

		@Override
		public Backlog<K, T> with(QueuedCall<K, T> call) {
			GroupQueues<K, T> queues = queuesOf(call.group());
			return replace(queues, queues.raisedTo(virtualTime()).with(call));
		}

		@Override
		public Backlog<K, T> without(QueuedCall<K, T> call) {
			GroupQueues<K, T> queues = queuesOf(call.group());
			return replace(queues, queues.without(call));
		}

		@Override
		public Backlog<K, T> served(QueuedCall<K, T> call) {
			GroupQueues<K, T> queues = queuesOf(call.group());
			long serviceNumber = this.servedCalls + 1;
			long cost = call.entry().estimatedCost();
			GroupQueues<K, T> served = queues.served(call, this.ordering)
				.charged(normalizedCost(call.group(), cost))
				.servedAt(serviceNumber);
			return replace(queues, served).withServedCalls(serviceNumber);
		}

		@Override
		public Optional<QueuedCall<K, T>> next() {
			return this.serviceOrder.headOption().toJavaOptional().flatMap((rank) -> queuesOf(rank.group()).next());
		}

		@Override
		public Optional<QueuedCall<K, T>> findEviction(GroupName newcomer) {
			double newLoad = GroupLoad.callsPerShare(newcomer, queuesOf(newcomer).size() + 1, this.shares);
			return this.loadOrder.lastOption()
				.toJavaOptional()
				.filter((highest) -> highest.callsPerShare() > newLoad)
				.flatMap((highest) -> queuesOf(highest.group()).last());
		}

		// Until the new call is served, each other backlogged group receives service
		// in proportion to its share.
		@Override
		public long callsAheadOf(GroupName newcomer) {
			long share = this.shares.of(newcomer);
			int ownCalls = queuesOf(newcomer).size();
			long otherShares = this.backloggedShares - ((ownCalls > 0) ? share : 0);
			return ownCalls + Math.ceilDiv((ownCalls + 1) * otherShares, share);
		}

		@Override
		public Backlog<K, T> charged(GroupName group, long cost) {
			GroupQueues<K, T> queues = queuesOf(group);
			return replace(queues, queues.charged(normalizedCost(group, cost)));
		}

		@Override
		public Backlog<K, T> withShares(Shares changed) {
			SortedSet<GroupLoad> changedLoads = TreeSet.empty();
			long changedSum = 0;
			for (GroupRank rank : this.serviceOrder) {
				changedLoads = changedLoads.add(GroupLoad.of(queuesOf(rank.group()), changed));
				changedSum += changed.of(rank.group());
			}
			Map<GroupName, GroupQueues<K, T>> kept = this.groups
				.filter((group, queues) -> queues.size() > 0 || changed.contains(group));
			return new FairShareQueues<>(this.ordering, changed, kept, this.serviceOrder, changedLoads, changedSum,
					this.idleVirtualTime, this.servedCalls);
		}

		private GroupQueues<K, T> queuesOf(GroupName group) {
			return this.groups.getOrElse(group, GroupQueues.idle(group, virtualTime()));
		}

		private double virtualTime() {
			return this.serviceOrder.isEmpty() ? this.idleVirtualTime : this.serviceOrder.head().normalizedService();
		}

		private double normalizedCost(GroupName group, long cost) {
			return (double) cost / this.shares.of(group);
		}

		private FairShareQueues<K, T> withServedCalls(long count) {
			return new FairShareQueues<>(this.ordering, this.shares, this.groups, this.serviceOrder, this.loadOrder,
					this.backloggedShares, this.idleVirtualTime, count);
		}

		private FairShareQueues<K, T> replace(GroupQueues<K, T> before, GroupQueues<K, T> after) {
			SortedSet<GroupRank> changedOrder = this.serviceOrder;
			SortedSet<GroupLoad> changedLoads = this.loadOrder;
			long changedSum = this.backloggedShares;
			if (before.size() > 0) {
				changedOrder = changedOrder.remove(before.rank());
				changedLoads = changedLoads.remove(GroupLoad.of(before, this.shares));
				changedSum -= this.shares.of(before.group());
			}
			if (after.size() > 0) {
				changedOrder = changedOrder.add(after.rank());
				changedLoads = changedLoads.add(GroupLoad.of(after, this.shares));
				changedSum += this.shares.of(after.group());
			}
			boolean becameIdle = changedOrder.isEmpty() && !this.serviceOrder.isEmpty();
			return new FairShareQueues<>(this.ordering, this.shares, this.groups.put(after.group(), after),
					changedOrder, changedLoads, changedSum,
					becameIdle ? after.normalizedService() : this.idleVirtualTime, this.servedCalls);
		}

	}

	/**
	 * Queues of one group.
	 *
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls
	 * @param group the group
	 * @param normalizedService the service it received, divided by its share
	 * @param lastService the number of its call that was served last
	 * @param interactive its interactive calls in their order
	 * @param background its background calls in their order
	 * @param backgroundCredit the service reserved for its background calls
	 */
	record GroupQueues<K, T>(GroupName group, double normalizedService, long lastService,
			SortedMap<QueuePosition, QueuedCall<K, T>> interactive,
			SortedMap<QueuePosition, QueuedCall<K, T>> background, double backgroundCredit) {

		private static <K, T> GroupQueues<K, T> idle(GroupName group, double virtualTime) {
			return new GroupQueues<>(group, virtualTime, 0, TreeMap.empty(), TreeMap.empty(), 0);
		}

		private int size() {
			return this.interactive.size() + this.background.size();
		}

		private GroupRank rank() {
			return new GroupRank(this.normalizedService, this.lastService, this.group);
		}

		private GroupQueues<K, T> raisedTo(double minimum) {
			if (size() > 0 || this.normalizedService >= minimum) {
				return this;
			}
			return withNormalizedService(minimum);
		}

		private GroupQueues<K, T> charged(double normalizedCost) {
			return withNormalizedService(this.normalizedService + normalizedCost);
		}

		private GroupQueues<K, T> withNormalizedService(double changed) {
			return new GroupQueues<>(this.group, changed, this.lastService, this.interactive, this.background,
					this.backgroundCredit);
		}

		private GroupQueues<K, T> servedAt(long serviceNumber) {
			return new GroupQueues<>(this.group, this.normalizedService, serviceNumber, this.interactive,
					this.background, this.backgroundCredit);
		}

		private GroupQueues<K, T> with(QueuedCall<K, T> call) {
			if (call.isInteractive()) {
				return withQueues(this.interactive.put(call.position(), call), this.background);
			}
			return withQueues(this.interactive, this.background.put(call.position(), call));
		}

		private GroupQueues<K, T> without(QueuedCall<K, T> call) {
			if (call.isInteractive()) {
				return withQueues(this.interactive.remove(call.position()), this.background);
			}
			return withQueues(this.interactive, this.background.remove(call.position()));
		}

		// Background calls accumulate no credit while none is waiting.
		private GroupQueues<K, T> withQueues(SortedMap<QueuePosition, QueuedCall<K, T>> changedInteractive,
				SortedMap<QueuePosition, QueuedCall<K, T>> changedBackground) {
			double credit = changedBackground.isEmpty() ? 0 : this.backgroundCredit;
			return new GroupQueues<>(this.group, this.normalizedService, this.lastService, changedInteractive,
					changedBackground, credit);
		}

		private GroupQueues<K, T> served(QueuedCall<K, T> call, Ordering.FairShare ordering) {
			return withBackgroundCredit(creditAfter(call, ordering)).without(call);
		}

		private double creditAfter(QueuedCall<K, T> call, Ordering.FairShare ordering) {
			long cost = call.entry().estimatedCost();
			if (call.isInteractive()) {
				return this.backgroundCredit + ordering.backgroundCredit(cost);
			}
			return Math.max(0, this.backgroundCredit - cost);
		}

		private GroupQueues<K, T> withBackgroundCredit(double credit) {
			return new GroupQueues<>(this.group, this.normalizedService, this.lastService, this.interactive,
					this.background, credit);
		}

		private Optional<QueuedCall<K, T>> next() {
			Optional<QueuedCall<K, T>> interactiveCall = head(this.interactive);
			Optional<QueuedCall<K, T>> backgroundCall = head(this.background);
			if (interactiveCall.isEmpty()
					|| backgroundCall.filter((call) -> call.entry().estimatedCost() <= this.backgroundCredit)
						.isPresent()) {
				return backgroundCall;
			}
			return interactiveCall;
		}

		private Optional<QueuedCall<K, T>> last() {
			SortedMap<QueuePosition, QueuedCall<K, T>> queue = this.background.isEmpty() ? this.interactive
					: this.background;
			return queue.lastOption().map(Tuple2::_2).toJavaOptional();
		}

		private static <K, T> Optional<QueuedCall<K, T>> head(SortedMap<QueuePosition, QueuedCall<K, T>> queue) {
			return queue.headOption().map(Tuple2::_2).toJavaOptional();
		}

	}

	/**
	 * Position of a group in the order of service. Of two groups with equal normalized
	 * service, the least recently served one precedes.
	 *
	 * @param normalizedService the service the group received, divided by its share
	 * @param lastService the number of its call that was served last
	 * @param group the group
	 */
	record GroupRank(double normalizedService, long lastService, GroupName group) implements Comparable<GroupRank> {

		@Override
		public int compareTo(GroupRank other) {
			int byNormalizedService = Double.compare(this.normalizedService, other.normalizedService);
			if (byNormalizedService != 0) {
				return byNormalizedService;
			}
			int byService = Long.compare(this.lastService, other.lastService);
			return (byService != 0) ? byService : this.group.compareTo(other.group);
		}

	}

	/**
	 * Position of a group in the order of load.
	 *
	 * @param callsPerShare its waiting calls, divided by its share
	 * @param group the group
	 */
	record GroupLoad(double callsPerShare, GroupName group) implements Comparable<GroupLoad> {

		private static GroupLoad of(GroupQueues<?, ?> queues, Shares shares) {
			return new GroupLoad(callsPerShare(queues.group(), queues.size(), shares), queues.group());
		}

		private static double callsPerShare(GroupName group, int calls, Shares shares) {
			return (double) calls / shares.of(group);
		}

		@Override
		public int compareTo(GroupLoad other) {
			int byCalls = Double.compare(this.callsPerShare, other.callsPerShare);
			return (byCalls != 0) ? byCalls : this.group.compareTo(other.group);
		}

	}

}
