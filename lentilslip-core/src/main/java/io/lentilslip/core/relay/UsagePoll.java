package io.lentilslip.core.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Quorum read of the usage of a program before one of its turns runs. Each relay is
 * counted once. Used by one thread.
 */
final class UsagePoll {

	private final long exchange;

	private final RunId run;

	private final List<String> replicas;

	private final Set<String> responders = new HashSet<>();

	private final Deque<String> logRelays = new ArrayDeque<>();

	private Stage stage = Stage.REPLICAS;

	private int pendingTimers;

	private int unavailable;

	private boolean replicaResponded;

	private boolean logReachable;

	private boolean extended;

	private long used;

	private long uncommitted;

	/**
	 * Creates a poll without replies.
	 * @param exchange the exchange of the turn
	 * @param run the run of the turn
	 * @param replicas the replicas of the program; empty if no members are known
	 */
	UsagePoll(long exchange, RunId run, List<String> replicas) {
		this.exchange = exchange;
		this.run = run;
		this.replicas = replicas;
		this.replicaResponded = replicas.isEmpty();
	}

	long exchange() {
		return this.exchange;
	}

	RunId run() {
		return this.run;
	}

	boolean hasReplicas() {
		return !this.replicas.isEmpty();
	}

	Stage stage() {
		return this.stage;
	}

	/**
	 * Makes the log decide from now on.
	 */
	void waitForLog() {
		this.stage = Stage.LOG;
	}

	/**
	 * Makes a majority of all relays decide from now on, and discards the replies counted
	 * so far.
	 * @param self the name of this relay
	 */
	void waitForAllRelays(String self) {
		this.stage = Stage.RELAYS;
		this.responders.clear();
		this.replicaResponded = this.replicas.isEmpty() || this.replicas.contains(self);
	}

	/**
	 * Adds the reply of a relay.
	 * @param relay the relay
	 * @param tokens the usage that it knows, the turn included
	 * @param uncommittedTokens the part of it that is not in the log yet
	 */
	void addUsage(String relay, long tokens, long uncommittedTokens) {
		this.responders.add(relay);
		this.uncommitted = Math.max(this.uncommitted, uncommittedTokens);
		this.replicaResponded = this.replicaResponded || this.replicas.contains(relay);
		this.used = Math.max(this.used, tokens);
	}

	/**
	 * Counts a replica that has reserved the turn but can't report the usage.
	 */
	void unavailable() {
		this.unavailable++;
	}

	/**
	 * Returns the highest usage in any reply.
	 * @return the tokens, the turn included
	 */
	long used() {
		return this.used;
	}

	/**
	 * Returns the highest uncommitted usage in any reply.
	 * @return the tokens, the turn included
	 */
	long uncommitted() {
		return this.uncommitted;
	}

	/**
	 * Returns an upper bound of the tokens that concurrent turns may be granted beyond
	 * the replies of this poll. Two of three replicas that receive requests in different
	 * orders may together grant up to half more than each of them counts. Replies of all
	 * replicas cover every turn, and a turn that is the only uncommitted one in each
	 * reply has no concurrent turns.
	 * @param maxTokens the maximum tokens of the turn itself
	 * @return the tokens
	 */
	long maxUncounted(int maxTokens) {
		boolean all = this.responders.size() >= this.replicas.size();
		return (all || this.uncommitted <= maxTokens) ? 0 : this.uncommitted / 2;
	}

	/**
	 * Returns whether any replica has sent no reply yet.
	 * @return whether any has not
	 */
	boolean awaitsReplicas() {
		return this.responders.size() + this.unavailable < this.replicas.size();
	}

	int responders() {
		return this.responders.size();
	}

	/**
	 * Returns whether a majority of the replicas has reported the usage.
	 * @return whether it has
	 */
	boolean hasReplicaQuorum() {
		return this.responders.size() >= quorum();
	}

	/**
	 * Returns whether so many replicas are unavailable that a quorum is impossible.
	 * @return whether a quorum is impossible
	 */
	boolean replicaQuorumLost() {
		return this.replicas.size() - this.unavailable < quorum();
	}

	private int quorum() {
		return this.replicas.size() / 2 + 1;
	}

	/**
	 * Returns whether concurrent decisions of the replicas are covered: a replica that
	 * replied counts them, and those that can't report have reserved the turn as well.
	 * @return whether they are
	 */
	boolean coversReplicaDecisions() {
		return !this.responders.isEmpty() || replicaQuorumLost();
	}

	/**
	 * Returns whether a majority of all relays has replied, including a replica.
	 * @param otherRelays the number of other relays
	 * @return whether it has
	 */
	boolean hasRelayMajority(int otherRelays) {
		return this.replicaResponded && this.responders.size() >= (otherRelays + 1) / 2;
	}

	/**
	 * Adds a relay that reaches the log and can reserve the turn there.
	 * @param relay the relay
	 */
	void addLogRelay(String relay) {
		this.logReachable = true;
		this.logRelays.add(relay);
	}

	/**
	 * Returns whether any relay reaches the log, so that the log decides.
	 * @return whether any does
	 */
	boolean logReachable() {
		return this.logReachable;
	}

	/**
	 * Removes the next relay that can reserve the turn in the log.
	 * @return the relay, or empty if there are no more
	 */
	Optional<String> nextLogRelay() {
		return Optional.ofNullable(this.logRelays.pollFirst());
	}

	/**
	 * Extends the timeout of the decision, once.
	 * @return whether it was not extended before
	 */
	boolean extendTimeout() {
		boolean first = !this.extended;
		this.extended = true;
		return first;
	}

	void timerStarted() {
		this.pendingTimers++;
	}

	/**
	 * Counts a timer that has fired.
	 * @return whether no other timer is pending
	 */
	boolean timerFired() {
		this.pendingTimers--;
		return this.pendingTimers <= 0;
	}

	/**
	 * Returns the refusal of a turn that its budget does not admit. Without the log only
	 * a part of the budget is granted, so it may not be spent.
	 * @return the refusal
	 */
	Refusal refusal() {
		return (this.stage == Stage.REPLICAS) ? Refusal.BUDGET_SPENT : Refusal.LOG_LOST;
	}

	/**
	 * Decider that the poll waits for. Safe for use by several threads.
	 */
	enum Stage {

		/**
		 * A quorum of the program's replicas.
		 */
		REPLICAS,

		/**
		 * The order of the log.
		 */
		LOG,

		/**
		 * A majority of all relays.
		 */
		RELAYS

	}

}
