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
			case Ordering.ForFairShare fair -> ByGroup.empty(fair, shares);
			case Ordering.FirstComeFirstServed firstCome -> new InOneLine<>(TreeMap.empty());
			case Ordering.ProgramFirstCome programFirstCome -> new InOneLine<>(TreeMap.empty());
		};
	}

	/**
	 * Returns this backlog with one more call.
	 * @param call the call
	 * @return a backlog with the call
	 */
	Backlog<K, T> with(Waiting<K, T> call);

	/**
	 * Returns this backlog after a call left it without service.
	 * @param call the call
	 * @return a backlog without the call
	 */
	Backlog<K, T> without(Waiting<K, T> call);

	/**
	 * Returns this backlog after a call left it for service, charged by its estimate.
	 * @param call the call
	 * @return a backlog without the call
	 */
	Backlog<K, T> served(Waiting<K, T> call);

	/**
	 * Returns the call to be served next.
	 * @return the call, empty only if no call waits
	 */
	Optional<Waiting<K, T>> first();

	/**
	 * Returns the waiting call that has to give way to a new one when there is room for
	 * no more.
	 * @param newcomer the group of the new call
	 * @return the call to displace, or an empty result if the new one has to go
	 */
	Optional<Waiting<K, T>> displacedBy(GroupName newcomer);

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
	record InOneLine<K, T>(SortedMap<Place, Waiting<K, T>> line) implements Backlog<K, T> {

		@Override
		public Backlog<K, T> with(Waiting<K, T> call) {
			return new InOneLine<>(this.line.put(call.turn(), call));
		}

		@Override
		public Backlog<K, T> without(Waiting<K, T> call) {
			return new InOneLine<>(this.line.remove(call.turn()));
		}

		@Override
		public Backlog<K, T> served(Waiting<K, T> call) {
			return without(call);
		}

		@Override
		public Optional<Waiting<K, T>> first() {
			return this.line.headOption().map(Tuple2::_2).toJavaOptional();
		}

		@Override
		public Optional<Waiting<K, T>> displacedBy(GroupName newcomer) {
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
	record ByGroup<K, T>(Ordering.ForFairShare ordering, Shares shares, Map<GroupName, GroupLines<K, T>> groups,
			SortedSet<GroupTurn> turns, SortedSet<GroupLoad> loads, long waitingShares, double idleCounter,
			long services) implements Backlog<K, T> {

		private static <K, T> Backlog<K, T> empty(Ordering.ForFairShare ordering, Shares shares) {
			return new ByGroup<>(ordering, shares, HashMap.empty(), TreeSet.empty(), TreeSet.empty(), 0, 0, 0);
		}

		@Override
		public Backlog<K, T> with(Waiting<K, T> call) {
			GroupLines<K, T> lines = linesOf(call.group());
			return replaced(lines, lines.liftedTo(leastCounter()).with(call));
		}

		@Override
		public Backlog<K, T> without(Waiting<K, T> call) {
			GroupLines<K, T> lines = linesOf(call.group());
			return replaced(lines, lines.without(call));
		}

		@Override
		public Backlog<K, T> served(Waiting<K, T> call) {
			GroupLines<K, T> lines = linesOf(call.group());
			long service = this.services + 1;
			long cost = call.entry().cost();
			GroupLines<K, T> served = lines.served(call, this.ordering)
				.charged(weighted(call.group(), cost))
				.servedAt(service);
			return replaced(lines, served).withServices(service);
		}

		@Override
		public Optional<Waiting<K, T>> first() {
			return this.turns.headOption().toJavaOptional().flatMap((turn) -> linesOf(turn.group()).first());
		}

		@Override
		public Optional<Waiting<K, T>> displacedBy(GroupName newcomer) {
			double after = GroupLoad.callsForShare(newcomer, linesOf(newcomer).size() + 1, this.shares);
			return this.loads.lastOption()
				.toJavaOptional()
				.filter((most) -> most.callsForShare() > after)
				.flatMap((most) -> linesOf(most.group()).last());
		}

		// While the group gets one call more than it has waiting, each other group gets
		// as much for its share.
		@Override
		public long callsAheadOf(GroupName newcomer) {
			long share = this.shares.of(newcomer);
			int own = linesOf(newcomer).size();
			long otherShares = this.waitingShares - ((own > 0) ? share : 0);
			return own + Math.ceilDiv((own + 1) * otherShares, share);
		}

		@Override
		public Backlog<K, T> charged(GroupName group, long cost) {
			GroupLines<K, T> lines = linesOf(group);
			return replaced(lines, lines.charged(weighted(group, cost)));
		}

		@Override
		public Backlog<K, T> withShares(Shares changed) {
			SortedSet<GroupLoad> changedLoads = TreeSet.empty();
			long changedSum = 0;
			for (GroupTurn turn : this.turns) {
				changedLoads = changedLoads.add(GroupLoad.of(linesOf(turn.group()), changed));
				changedSum += changed.of(turn.group());
			}
			Map<GroupName, GroupLines<K, T>> kept = this.groups
				.filter((group, lines) -> lines.size() > 0 || changed.lists(group));
			return new ByGroup<>(this.ordering, changed, kept, this.turns, changedLoads, changedSum, this.idleCounter,
					this.services);
		}

		private GroupLines<K, T> linesOf(GroupName group) {
			return this.groups.getOrElse(group, GroupLines.idle(group, leastCounter()));
		}

		private double leastCounter() {
			return this.turns.isEmpty() ? this.idleCounter : this.turns.head().counter();
		}

		private double weighted(GroupName group, long cost) {
			return (double) cost / this.shares.of(group);
		}

		private ByGroup<K, T> withServices(long count) {
			return new ByGroup<>(this.ordering, this.shares, this.groups, this.turns, this.loads, this.waitingShares,
					this.idleCounter, count);
		}

		private ByGroup<K, T> replaced(GroupLines<K, T> before, GroupLines<K, T> after) {
			SortedSet<GroupTurn> changedTurns = this.turns;
			SortedSet<GroupLoad> changedLoads = this.loads;
			long changedSum = this.waitingShares;
			if (before.size() > 0) {
				changedTurns = changedTurns.remove(before.turn());
				changedLoads = changedLoads.remove(GroupLoad.of(before, this.shares));
				changedSum -= this.shares.of(before.group());
			}
			if (after.size() > 0) {
				changedTurns = changedTurns.add(after.turn());
				changedLoads = changedLoads.add(GroupLoad.of(after, this.shares));
				changedSum += this.shares.of(after.group());
			}
			boolean becameIdle = changedTurns.isEmpty() && !this.turns.isEmpty();
			return new ByGroup<>(this.ordering, this.shares, this.groups.put(after.group(), after), changedTurns,
					changedLoads, changedSum, becameIdle ? after.counter() : this.idleCounter, this.services);
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
	record GroupLines<K, T>(GroupName group, double counter, long lastService,
			SortedMap<Place, Waiting<K, T>> interactive, SortedMap<Place, Waiting<K, T>> background,
			double backgroundDue) {

		private static <K, T> GroupLines<K, T> idle(GroupName group, double counter) {
			return new GroupLines<>(group, counter, 0, TreeMap.empty(), TreeMap.empty(), 0);
		}

		private int size() {
			return this.interactive.size() + this.background.size();
		}

		private GroupTurn turn() {
			return new GroupTurn(this.counter, this.lastService, this.group);
		}

		private GroupLines<K, T> liftedTo(double least) {
			if (size() > 0 || this.counter >= least) {
				return this;
			}
			return counting(least);
		}

		private GroupLines<K, T> charged(double weightedCost) {
			return counting(this.counter + weightedCost);
		}

		private GroupLines<K, T> counting(double changed) {
			return new GroupLines<>(this.group, changed, this.lastService, this.interactive, this.background,
					this.backgroundDue);
		}

		private GroupLines<K, T> servedAt(long service) {
			return new GroupLines<>(this.group, this.counter, service, this.interactive, this.background,
					this.backgroundDue);
		}

		private GroupLines<K, T> with(Waiting<K, T> call) {
			if (call.isInteractive()) {
				return withLines(this.interactive.put(call.turn(), call), this.background);
			}
			return withLines(this.interactive, this.background.put(call.turn(), call));
		}

		private GroupLines<K, T> without(Waiting<K, T> call) {
			if (call.isInteractive()) {
				return withLines(this.interactive.remove(call.turn()), this.background);
			}
			return withLines(this.interactive, this.background.remove(call.turn()));
		}

		// Background calls are due nothing while none of them waits: they save up no
		// credit either.
		private GroupLines<K, T> withLines(SortedMap<Place, Waiting<K, T>> changedInteractive,
				SortedMap<Place, Waiting<K, T>> changedBackground) {
			double due = changedBackground.isEmpty() ? 0 : this.backgroundDue;
			return new GroupLines<>(this.group, this.counter, this.lastService, changedInteractive, changedBackground,
					due);
		}

		private GroupLines<K, T> served(Waiting<K, T> call, Ordering.ForFairShare ordering) {
			return owing(dueAfter(call, ordering)).without(call);
		}

		private double dueAfter(Waiting<K, T> call, Ordering.ForFairShare ordering) {
			long cost = call.entry().cost();
			if (call.isInteractive()) {
				return this.backgroundDue + ordering.dueToBackground(cost);
			}
			return Math.max(0, this.backgroundDue - cost);
		}

		private GroupLines<K, T> owing(double due) {
			return new GroupLines<>(this.group, this.counter, this.lastService, this.interactive, this.background, due);
		}

		private Optional<Waiting<K, T>> first() {
			Optional<Waiting<K, T>> urgent = head(this.interactive);
			Optional<Waiting<K, T>> patient = head(this.background);
			if (urgent.isEmpty() || patient.filter((call) -> call.entry().cost() <= this.backgroundDue).isPresent()) {
				return patient;
			}
			return urgent;
		}

		private Optional<Waiting<K, T>> last() {
			SortedMap<Place, Waiting<K, T>> line = this.background.isEmpty() ? this.interactive : this.background;
			return line.lastOption().map(Tuple2::_2).toJavaOptional();
		}

		private static <K, T> Optional<Waiting<K, T>> head(SortedMap<Place, Waiting<K, T>> line) {
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
	record GroupTurn(double counter, long lastService, GroupName group) implements Comparable<GroupTurn> {

		@Override
		public int compareTo(GroupTurn other) {
			int byCounter = Double.compare(this.counter, other.counter);
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
	record GroupLoad(double callsForShare, GroupName group) implements Comparable<GroupLoad> {

		private static GroupLoad of(GroupLines<?, ?> lines, Shares shares) {
			return new GroupLoad(callsForShare(lines.group(), lines.size(), shares), lines.group());
		}

		private static double callsForShare(GroupName group, int calls, Shares shares) {
			return (double) calls / shares.of(group);
		}

		@Override
		public int compareTo(GroupLoad other) {
			int byCalls = Double.compare(this.callsForShare, other.callsForShare);
			return (byCalls != 0) ? byCalls : this.group.compareTo(other.group);
		}

	}

}
