package io.lentilslip.core.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The answers to this relay's question whether a program's budget holds a turn. Each
 * relay counts once. Used by one thread.
 */
final class UsagePoll {

	private final long exchange;

	private final String request;

	private final List<String> replicas;

	private final Set<String> responders = new HashSet<>();

	private final Deque<String> logRelays = new ArrayDeque<>();

	private Stage stage = Stage.REPLICAS;

	private int timers;

	private int unavailable;

	private boolean replicaResponded;

	private boolean logReachable;

	private boolean extended;

	private long used;

	private long uncommitted;

	/**
	 * Creates a poll without answers.
	 * @param exchange the exchange of the turn
	 * @param request the turn
	 * @param replicas the relays that keep the program; none if they are not known
	 */
	UsagePoll(long exchange, String request, List<String> keepers) {
		this.exchange = exchange;
		this.request = request;
		this.replicas = keepers;
		this.replicaResponded = keepers.isEmpty();
	}

	long exchange() {
		return this.exchange;
	}

	String request() {
		return this.request;
	}

	boolean hasReplicas() {
		return !this.replicas.isEmpty();
	}

	/**
	 * Returns whose answer is waited for.
	 * @return the stage
	 */
	Stage stage() {
		return this.stage;
	}

	/**
	 * Waits for the log from now on.
	 */
	void waitForLog() {
		this.stage = Stage.LOG;
	}

	/**
	 * Waits for all relays from now on, each of which is asked anew.
	 * @param own this relay
	 */
	void waitForAllRelays(String own) {
		this.stage = Stage.RELAYS;
		this.responders.clear();
		this.replicaResponded = this.replicas.isEmpty() || this.replicas.contains(own);
	}

	/**
	 * Takes the answer of a relay.
	 * @param relay the relay
	 * @param tokens what it knows to be taken, the turn included
	 * @param hidden how much of that the log has not shown it
	 */
	void addUsage(String relay, long tokens, long hidden) {
		this.responders.add(relay);
		this.uncommitted = Math.max(this.uncommitted, hidden);
		this.replicaResponded = this.replicaResponded || this.replicas.contains(relay);
		this.used = Math.max(this.used, tokens);
	}

	/**
	 * Takes that a keeper has noted the turn and can't say what is taken.
	 */
	void unavailable() {
		this.unavailable++;
	}

	/**
	 * Returns the most that an answer says to be taken.
	 * @return the tokens, the turn included
	 */
	long used() {
		return this.used;
	}

	/**
	 * Returns the most that an answer says not to be in the log.
	 * @return the tokens, the turn included
	 */
	long uncommitted() {
		return this.uncommitted;
	}

	/**
	 * Returns what turns that were asked for in the same moment may have been granted
	 * beyond what this poll shows. Two replicas of three that answer in different orders
	 * grant up to half more than each of them counts; all replicas together show every
	 * turn, and a turn that is seen alone by two is the only one that is.
	 * @param most the most tokens of the turn itself
	 * @return the tokens
	 */
	long maxUnseen(int most) {
		boolean all = this.responders.size() >= this.replicas.size();
		return (all || this.uncommitted <= most) ? 0 : this.uncommitted / 2;
	}

	/**
	 * Returns whether a replica has neither answered nor said that it is unsure.
	 * @return whether one has not
	 */
	boolean awaitsReplicas() {
		return this.responders.size() + this.unavailable < this.replicas.size();
	}

	int responders() {
		return this.responders.size();
	}

	/**
	 * Returns whether enough keepers have answered to decide.
	 * @return whether they have
	 */
	boolean hasReplicaQuorum() {
		return this.responders.size() >= quorum();
	}

	/**
	 * Returns whether so many keepers are unsure that the others can't decide.
	 * @return whether they are
	 */
	boolean replicaQuorumLost() {
		return this.replicas.size() - this.unavailable < quorum();
	}

	private int quorum() {
		return this.replicas.size() / 2 + 1;
	}

	/**
	 * Returns whether what keepers decided meanwhile is seen: one that answered knows of
	 * it, and those that are unsure hold the turn back as the others do.
	 * @return whether it is
	 */
	boolean coversReplicaDecisions() {
		return !this.responders.isEmpty() || replicaQuorumLost();
	}

	/**
	 * Returns whether a majority of all relays has answered, and a keeper among them.
	 * @param others how many other relays are known
	 * @return whether it has
	 */
	boolean hasRelayMajority(int others) {
		return this.replicaResponded && this.responders.size() >= (others + 1) / 2;
	}

	/**
	 * Takes that a relay reaches the log, and could get the turn a place there.
	 * @param relay the relay
	 */
	void addLogRelay(String relay) {
		this.logReachable = true;
		this.logRelays.add(relay);
	}

	/**
	 * Returns whether some relay reaches the log, so that the log decides.
	 * @return whether one does
	 */
	boolean logReachable() {
		return this.logReachable;
	}

	/**
	 * Returns the relay to ask for a place in the log, each time the next one.
	 * @return the relay, or empty if all were asked
	 */
	Optional<String> nextLogRelay() {
		return Optional.ofNullable(this.logRelays.pollFirst());
	}

	/**
	 * Notes that the turn is waited for longer than usual.
	 * @return whether it was not before
	 */
	boolean extendTimeout() {
		boolean first = !this.extended;
		this.extended = true;
		return first;
	}

	/**
	 * Notes that a reminder is under way.
	 */
	void timerStarted() {
		this.timers++;
	}

	/**
	 * Takes a reminder.
	 * @return whether no other is under way
	 */
	boolean timerFired() {
		this.timers--;
		return this.timers <= 0;
	}

	/**
	 * Returns why the turn is refused if its budget is told not to hold it.
	 * @return the refusal: without the log only a part of the budget is given
	 */
	Refusal refusal() {
		return (this.stage == Stage.REPLICAS) ? Refusal.BUDGET_SPENT : Refusal.LOG_LOST;
	}

	/**
	 * Whose answer is waited for. Safe for use by several threads.
	 */
	enum Stage {

		/**
		 * That of the relays that keep the program.
		 */
		REPLICAS,

		/**
		 * That of the log's order.
		 */
		LOG,

		/**
		 * That of all other relays.
		 */
		RELAYS

	}

}
