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
final class Poll {

	private final long exchange;

	private final String request;

	private final List<String> keepers;

	private final Set<String> answers = new HashSet<>();

	private final Deque<String> placers = new ArrayDeque<>();

	private Stage stage = Stage.KEEPERS;

	private int reminders;

	private int unsure;

	private boolean byKeeper;

	private boolean log;

	private boolean extended;

	private long taken;

	private long unlogged;

	/**
	 * Creates a poll without answers.
	 * @param exchange the exchange of the turn
	 * @param request the turn
	 * @param keepers the relays that keep the program; none if they are not known
	 */
	Poll(long exchange, String request, List<String> keepers) {
		this.exchange = exchange;
		this.request = request;
		this.keepers = keepers;
		this.byKeeper = keepers.isEmpty();
	}

	long exchange() {
		return this.exchange;
	}

	String request() {
		return this.request;
	}

	boolean keepersKnown() {
		return !this.keepers.isEmpty();
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
	void askLog() {
		this.stage = Stage.LOG;
	}

	/**
	 * Waits for all relays from now on, each of which is asked anew.
	 * @param own this relay
	 */
	void askAll(String own) {
		this.stage = Stage.RELAYS;
		this.answers.clear();
		this.byKeeper = this.keepers.isEmpty() || this.keepers.contains(own);
	}

	/**
	 * Takes the answer of a relay.
	 * @param relay the relay
	 * @param tokens what it knows to be taken, the turn included
	 * @param hidden how much of that the log has not shown it
	 */
	void answered(String relay, long tokens, long hidden) {
		this.answers.add(relay);
		this.unlogged = Math.max(this.unlogged, hidden);
		this.byKeeper = this.byKeeper || this.keepers.contains(relay);
		this.taken = Math.max(this.taken, tokens);
	}

	/**
	 * Takes that a keeper has noted the turn and can't say what is taken.
	 */
	void unsure() {
		this.unsure++;
	}

	/**
	 * Returns the most that an answer says to be taken.
	 * @return the tokens, the turn included
	 */
	long taken() {
		return this.taken;
	}

	/**
	 * Returns the most that an answer says not to be in the log.
	 * @return the tokens, the turn included
	 */
	long unlogged() {
		return this.unlogged;
	}

	/**
	 * Returns what turns that were asked for in the same moment may have been granted
	 * beyond what this poll shows. Two replicas of three that answer in different orders
	 * grant up to half more than each of them counts; all replicas together show every
	 * turn, and a turn that is seen alone by two is the only one that is.
	 * @param most the most tokens of the turn itself
	 * @return the tokens
	 */
	long unseen(int most) {
		boolean all = this.answers.size() >= this.keepers.size();
		return (all || this.unlogged <= most) ? 0 : this.unlogged / 2;
	}

	/**
	 * Returns whether a replica has neither answered nor said that it is unsure.
	 * @return whether one has not
	 */
	boolean waitsForMoreReplicas() {
		return this.answers.size() + this.unsure < this.keepers.size();
	}

	int answers() {
		return this.answers.size();
	}

	/**
	 * Returns whether enough keepers have answered to decide.
	 * @return whether they have
	 */
	boolean keepersDecide() {
		return this.answers.size() >= needed();
	}

	/**
	 * Returns whether so many keepers are unsure that the others can't decide.
	 * @return whether they are
	 */
	boolean keepersCannotDecide() {
		return this.keepers.size() - this.unsure < needed();
	}

	private int needed() {
		return this.keepers.size() / 2 + 1;
	}

	/**
	 * Returns whether what keepers decided meanwhile is seen: one that answered knows of
	 * it, and those that are unsure hold the turn back as the others do.
	 * @return whether it is
	 */
	boolean seesKeepers() {
		return !this.answers.isEmpty() || keepersCannotDecide();
	}

	/**
	 * Returns whether a majority of all relays has answered, and a keeper among them.
	 * @param others how many other relays are known
	 * @return whether it has
	 */
	boolean allDecide(int others) {
		return this.byKeeper && this.answers.size() >= (others + 1) / 2;
	}

	/**
	 * Takes that a relay reaches the log, and could get the turn a place there.
	 * @param relay the relay
	 */
	void reachesLog(String relay) {
		this.log = true;
		this.placers.add(relay);
	}

	/**
	 * Returns whether some relay reaches the log, so that the log decides.
	 * @return whether one does
	 */
	boolean log() {
		return this.log;
	}

	/**
	 * Returns the relay to ask for a place in the log, each time the next one.
	 * @return the relay, or empty if all were asked
	 */
	Optional<String> nextPlacer() {
		return Optional.ofNullable(this.placers.pollFirst());
	}

	/**
	 * Notes that the turn is waited for longer than usual.
	 * @return whether it was not before
	 */
	boolean extend() {
		boolean first = !this.extended;
		this.extended = true;
		return first;
	}

	/**
	 * Notes that a reminder is under way.
	 */
	void remind() {
		this.reminders++;
	}

	/**
	 * Takes a reminder.
	 * @return whether no other is under way
	 */
	boolean lastReminder() {
		this.reminders--;
		return this.reminders <= 0;
	}

	/**
	 * Returns why the turn is refused if its budget is told not to hold it.
	 * @return the refusal: without the log only a part of the budget is given
	 */
	Refusal otherwise() {
		return (this.stage == Stage.KEEPERS) ? Refusal.BUDGET_SPENT : Refusal.LOG_LOST;
	}

	/**
	 * Whose answer is waited for. Safe for use by several threads.
	 */
	enum Stage {

		/**
		 * That of the relays that keep the program.
		 */
		KEEPERS,

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
