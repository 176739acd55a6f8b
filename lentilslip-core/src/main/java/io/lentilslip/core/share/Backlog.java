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
 * The lines that waiting calls stand in. Each operation takes time logarithmic in the
 * number of calls and groups. Implementations are immutable and safe for use by several
 * threads.
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
	 * @return a backlog that no call waits in
	 */
	static <K, T> Backlog<K, T> of(Ordering ordering, Shares shares) {
		return switch (ordering) {
			case Ordering.FairShare fair -> GroupLinesBacklog.empty(fair, shares);
			case Ordering.FirstComeFirstServed firstCome -> new SingleLine<>(TreeMap.empty());
			case Ordering.ProgramFirstCome programFirstCome -> new SingleLine<>(TreeMap.empty());
		};
	}

	/**
	 * Returns this backlog with one more call.
	 * @param call the call
	 * @return a backlog with the call
	 */
	Backlog<K, T> with(QueuedCall<K, T> call);

	/**
	 * Returns this backlog after a call left it without service.
	 * @param call the call
	 * @return a backlog without the call
	 */
	Backlog<K, T> without(QueuedCall<K, T> call);

	/**
	 * Returns this backlog after a call left it for service, charged by its estimate.
	 * @param call the call
	 * @return a backlog without the call
	 */
	Backlog<K, T> served(QueuedCall<K, T> call);

	/**
	 * Returns the call to be served next.
	 * @return the call, empty only if no call waits
	 */
	Optional<QueuedCall<K, T>> next();

	/**
	 * Returns the waiting call that has to give way to a new one when there is room for
	 * no more.
	 * @param newcomer the group of the new call
	 * @return the call to displace, or an empty result if the new one has to go
	 */
	Optional<QueuedCall<K, T>> findEviction(GroupName newcomer);

	/**
	 * Estimates how many of the waiting calls are served before a new one.
	 * @param newcomer the group of the new call
	 * @return the number of calls, if they all cost the same
	 */
	long callsAheadOf(GroupName newcomer);

	/**
	 * Returns this backlog after a group got service.
	 * @param group the group
	 * @param cost the service, negative to take some back
	 * @return a backlog that counts the service
	 */
	Backlog<K, T> charged(GroupName group, long cost);

	/**
	 * Returns this backlog with other shares, which count for service from now on.
	 * @param shares the shares of groups
	 * @return a backlog with the shares
	 */
	Backlog<K, T> withShares(Shares shares);

	/**
	 * A backlog in one line, whatever the groups of the calls.
	 *
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls
	 * @param line the calls in their order
	 */
	record SingleLine<K, T>(SortedMap<QueuePosition, QueuedCall<K, T>> line) implements Backlog<K, T> {

		@Override
		public Backlog<K, T> with(QueuedCall<K, T> call) {
			return new SingleLine<>(this.line.put(call.position(), call));
		}

		@Override
		public Backlog<K, T> without(QueuedCall<K, T> call) {
			return new SingleLine<>(this.line.remove(call.position()));
		}

		@Override
		public Backlog<K, T> served(QueuedCall<K, T> call) {
			return without(call);
		}

		@Override
		public Optional<QueuedCall<K, T>> next() {
			return this.line.headOption().map(Tuple2::_2).toJavaOptional();
		}

		@Override
		public Optional<QueuedCall<K, T>> findEviction(GroupName newcomer) {
			return Optional.empty();
		}

		@Override
		public long callsAheadOf(GroupName newcomer) {
			return this.line.size();
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
	 * A backlog with lines for each group and class. A group's counter grows by the
	 * service it gets divided by its share; the group with the least counter goes first.
	 * The counter of a group that comes back after it was idle is lifted to the least one
	 * of the groups that wait: else the group would have saved up credit without bound,
	 * and the others would get nothing until it is used up.
	 *
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls
	 * @param ordering the order within a group
	 * @param shares the shares of groups
	 * @param groups the groups that wait or have been served
	 * @param turns the groups that wait, in the order of their counters
	 * @param loads the groups that wait, in the order of their waiting calls for their
	 * share
	 * @param waitingShares the sum of the shares of the groups that wait
	 * @param idleCounter the counter of the group that was the last to wait when none did
	 * any more
	 * @param services the number of calls served
	 */
	record GroupLinesBacklog<K, T>(Ordering.FairShare ordering, Shares shares, Map<GroupName, GroupQueues<K, T>> groups,
			SortedSet<GroupRank> serviceOrder, SortedSet<GroupLoad> loadOrder, long backloggedShares,
			double idleVirtualTime, long servedCalls) implements Backlog<K, T> {

		private static <K, T> Backlog<K, T> empty(Ordering.FairShare ordering, Shares shares) {
			return new GroupLinesBacklog<>(ordering, shares, HashMap.empty(), TreeSet.empty(), TreeSet.empty(), 0, 0,
					0);
		}

		@Override
		public Backlog<K, T> with(QueuedCall<K, T> call) {
			GroupQueues<K, T> lines = queuesOf(call.group());
			return replace(lines, lines.raisedTo(virtualTime()).with(call));
		}

		@Override
		public Backlog<K, T> without(QueuedCall<K, T> call) {
			GroupQueues<K, T> lines = queuesOf(call.group());
			return replace(lines, lines.without(call));
		}

		@Override
		public Backlog<K, T> served(QueuedCall<K, T> call) {
			GroupQueues<K, T> lines = queuesOf(call.group());
			long service = this.servedCalls + 1;
			long cost = call.entry().estimatedCost();
			GroupQueues<K, T> served = lines.served(call, this.ordering)
				.charged(weighted(call.group(), cost))
				.servedAt(service);
			return replace(lines, served).withServedCalls(service);
		}

		@Override
		public Optional<QueuedCall<K, T>> next() {
			return this.serviceOrder.headOption().toJavaOptional().flatMap((turn) -> queuesOf(turn.group()).next());
		}

		@Override
		public Optional<QueuedCall<K, T>> findEviction(GroupName newcomer) {
			double after = GroupLoad.callsPerShare(newcomer, queuesOf(newcomer).size() + 1, this.shares);
			return this.loadOrder.lastOption()
				.toJavaOptional()
				.filter((most) -> most.callsPerShare() > after)
				.flatMap((most) -> queuesOf(most.group()).last());
		}

		// While the group gets one call more than it has waiting, each other group gets
		// as much for its share.
		@Override
		public long callsAheadOf(GroupName newcomer) {
			long share = this.shares.of(newcomer);
			int own = queuesOf(newcomer).size();
			long otherShares = this.backloggedShares - ((own > 0) ? share : 0);
			return own + Math.ceilDiv((own + 1) * otherShares, share);
		}

		@Override
		public Backlog<K, T> charged(GroupName group, long cost) {
			GroupQueues<K, T> lines = queuesOf(group);
			return replace(lines, lines.charged(weighted(group, cost)));
		}

		@Override
		public Backlog<K, T> withShares(Shares changed) {
			SortedSet<GroupLoad> changedLoads = TreeSet.empty();
			long changedSum = 0;
			for (GroupRank turn : this.serviceOrder) {
				changedLoads = changedLoads.add(GroupLoad.of(queuesOf(turn.group()), changed));
				changedSum += changed.of(turn.group());
			}
			Map<GroupName, GroupQueues<K, T>> kept = this.groups
				.filter((group, lines) -> lines.size() > 0 || changed.contains(group));
			return new GroupLinesBacklog<>(this.ordering, changed, kept, this.serviceOrder, changedLoads, changedSum,
					this.idleVirtualTime, this.servedCalls);
		}

		private GroupQueues<K, T> queuesOf(GroupName group) {
			return this.groups.getOrElse(group, GroupQueues.idle(group, virtualTime()));
		}

		private double virtualTime() {
			return this.serviceOrder.isEmpty() ? this.idleVirtualTime : this.serviceOrder.head().normalizedService();
		}

		private double weighted(GroupName group, long cost) {
			return (double) cost / this.shares.of(group);
		}

		private GroupLinesBacklog<K, T> withServedCalls(long count) {
			return new GroupLinesBacklog<>(this.ordering, this.shares, this.groups, this.serviceOrder, this.loadOrder,
					this.backloggedShares, this.idleVirtualTime, count);
		}

		private GroupLinesBacklog<K, T> replace(GroupQueues<K, T> before, GroupQueues<K, T> after) {
			SortedSet<GroupRank> changedTurns = this.serviceOrder;
			SortedSet<GroupLoad> changedLoads = this.loadOrder;
			long changedSum = this.backloggedShares;
			if (before.size() > 0) {
				changedTurns = changedTurns.remove(before.rank());
				changedLoads = changedLoads.remove(GroupLoad.of(before, this.shares));
				changedSum -= this.shares.of(before.group());
			}
			if (after.size() > 0) {
				changedTurns = changedTurns.add(after.rank());
				changedLoads = changedLoads.add(GroupLoad.of(after, this.shares));
				changedSum += this.shares.of(after.group());
			}
			boolean becameIdle = changedTurns.isEmpty() && !this.serviceOrder.isEmpty();
			return new GroupLinesBacklog<>(this.ordering, this.shares, this.groups.put(after.group(), after),
					changedTurns, changedLoads, changedSum,
					becameIdle ? after.normalizedService() : this.idleVirtualTime, this.servedCalls);
		}

	}

	/**
	 * The lines of one group.
	 *
	 * @param <K> the type of the calls' identities
	 * @param <T> the type of the calls
	 * @param group the group
	 * @param counter the service it got, divided by its share
	 * @param lastService the number of its last call that was served
	 * @param interactive its interactive calls in their order
	 * @param background its background calls in their order
	 * @param backgroundDue the service that its background calls are due
	 */
	record GroupQueues<K, T>(GroupName group, double normalizedService, long lastService,
			SortedMap<QueuePosition, QueuedCall<K, T>> interactive,
			SortedMap<QueuePosition, QueuedCall<K, T>> background, double backgroundCredit) {

		private static <K, T> GroupQueues<K, T> idle(GroupName group, double counter) {
			return new GroupQueues<>(group, counter, 0, TreeMap.empty(), TreeMap.empty(), 0);
		}

		private int size() {
			return this.interactive.size() + this.background.size();
		}

		private GroupRank rank() {
			return new GroupRank(this.normalizedService, this.lastService, this.group);
		}

		private GroupQueues<K, T> raisedTo(double least) {
			if (size() > 0 || this.normalizedService >= least) {
				return this;
			}
			return withNormalizedService(least);
		}

		private GroupQueues<K, T> charged(double weightedCost) {
			return withNormalizedService(this.normalizedService + weightedCost);
		}

		private GroupQueues<K, T> withNormalizedService(double changed) {
			return new GroupQueues<>(this.group, changed, this.lastService, this.interactive, this.background,
					this.backgroundCredit);
		}

		private GroupQueues<K, T> servedAt(long service) {
			return new GroupQueues<>(this.group, this.normalizedService, service, this.interactive, this.background,
					this.backgroundCredit);
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

		// Background calls are due nothing while none of them waits: they save up no
		// credit either.
		private GroupQueues<K, T> withQueues(SortedMap<QueuePosition, QueuedCall<K, T>> changedInteractive,
				SortedMap<QueuePosition, QueuedCall<K, T>> changedBackground) {
			double due = changedBackground.isEmpty() ? 0 : this.backgroundCredit;
			return new GroupQueues<>(this.group, this.normalizedService, this.lastService, changedInteractive,
					changedBackground, due);
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

		private GroupQueues<K, T> withBackgroundCredit(double due) {
			return new GroupQueues<>(this.group, this.normalizedService, this.lastService, this.interactive,
					this.background, due);
		}

		private Optional<QueuedCall<K, T>> next() {
			Optional<QueuedCall<K, T>> urgent = head(this.interactive);
			Optional<QueuedCall<K, T>> patient = head(this.background);
			if (urgent.isEmpty()
					|| patient.filter((call) -> call.entry().estimatedCost() <= this.backgroundCredit).isPresent()) {
				return patient;
			}
			return urgent;
		}

		private Optional<QueuedCall<K, T>> last() {
			SortedMap<QueuePosition, QueuedCall<K, T>> line = this.background.isEmpty() ? this.interactive
					: this.background;
			return line.lastOption().map(Tuple2::_2).toJavaOptional();
		}

		private static <K, T> Optional<QueuedCall<K, T>> head(SortedMap<QueuePosition, QueuedCall<K, T>> line) {
			return line.headOption().map(Tuple2::_2).toJavaOptional();
		}

	}

	/**
	 * The place of a group in the order of service. Of two groups with one counter, the
	 * one that was served longer ago goes first.
	 *
	 * @param counter the service the group got, divided by its share
	 * @param lastService the number of its last call that was served
	 * @param group the group
	 */
	record GroupRank(double normalizedService, long lastService, GroupName group) implements Comparable<GroupRank> {

		@Override
		public int compareTo(GroupRank other) {
			int byCounter = Double.compare(this.normalizedService, other.normalizedService);
			if (byCounter != 0) {
				return byCounter;
			}
			int byService = Long.compare(this.lastService, other.lastService);
			return (byService != 0) ? byService : this.group.compareTo(other.group);
		}

	}

	/**
	 * The place of a group in the order of load.
	 *
	 * @param callsForShare its waiting calls, divided by its share
	 * @param group the group
	 */
	record GroupLoad(double callsPerShare, GroupName group) implements Comparable<GroupLoad> {

		private static GroupLoad of(GroupQueues<?, ?> lines, Shares shares) {
			return new GroupLoad(callsPerShare(lines.group(), lines.size(), shares), lines.group());
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
