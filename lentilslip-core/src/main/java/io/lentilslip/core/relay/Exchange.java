package io.lentilslip.core.relay;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * One request of a caller and its answer, from the reading of the request to the end of
 * the answer. Used by one thread.
 */
final class Exchange {

	private final RelayEvent.RequestReceived asked;

	private final Route route;

	private final CallerIdentity caller;

	private final RequestHead head;

	private final String id;

	private final long due;

	private final Set<String> tried = new HashSet<>();

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private Phase phase = Phase.WAITING_FOR_CHAIN;

	private byte[] chain = new byte[0];

	private int attempt;

	private int sends;

	private Optional<Upstream> upstream = Optional.empty();

	private OptionalLong lastEvent;

	private boolean opened;

	private int events;

	private boolean mayHaveRun;

	private boolean reserved;

	private long firstEventAt;

	private long heardAt;

	private long lookAt;

	private boolean watched;

	private boolean graced;

	private boolean bringing;

	private boolean extended;

	private boolean askedAll;

	private boolean permitted;

	Exchange(RelayEvent.RequestReceived asked, Route route, CallerIdentity caller) {
		this.asked = asked;
		this.route = route;
		this.caller = caller;
		this.head = team().map(asked.head()::scopedTo).orElse(asked.head());
		this.id = team().map((team) -> team.scoped(asked.head().id())).orElse(asked.head().id());
		this.lastEvent = route.resumable() ? asked.head().lastEvent() : OptionalLong.empty();
		Duration patience = asked.head().callerTimeout().orElse(route.timeout());
		Duration longest = (patience.compareTo(route.timeout()) < 0) ? patience : route.timeout();
		this.due = asked.now() + longest.toMillis();
	}

	long number() {
		return this.asked.exchange();
	}

	RelayEvent.RequestReceived asked() {
		return this.asked;
	}

	RequestHead head() {
		return this.head;
	}

	/**
	 * Returns the name of this attempt among those of all teams.
	 * @return the name
	 */
	String id() {
		return this.id;
	}

	/**
	 * Returns the digest of path, caller and body, which differs from that of another
	 * team's request.
	 * @return the digest
	 */
	long digest() {
		return this.asked.digest() ^ team().map((team) -> (long) team.name().hashCode() << Integer.SIZE).orElse(0L);
	}

	CallerIdentity caller() {
		return this.caller;
	}

	/**
	 * Returns the team whose quota and names the request counts among.
	 * @return the team, or empty if it is no team's
	 */
	Optional<Team> team() {
		return (this.caller instanceof CallerIdentity.OfTeam of) ? Optional.of(of.team()) : Optional.empty();
	}

	/**
	 * Notes that the quota of the team holds the request.
	 */
	void permit() {
		this.permitted = true;
	}

	boolean permitted() {
		return this.permitted;
	}

	Route route() {
		return this.route;
	}

	long due() {
		return this.due;
	}

	Duration left(long now) {
		return Duration.ofMillis(Math.max(0, this.due - now));
	}

	Set<String> tried() {
		return this.tried;
	}

	Phase phase() {
		return this.phase;
	}

	void become(Phase next) {
		this.phase = next;
	}

	byte[] chain() {
		return this.chain;
	}

	void found(byte[] found) {
		this.chain = found;
	}

	int attempt() {
		return this.attempt;
	}

	Optional<Upstream> upstream() {
		return this.upstream;
	}

	/**
	 * Returns to how many upstreams the request went out.
	 * @return the number
	 */
	int sends() {
		return this.sends;
	}

	void notSent() {
		this.sends--;
	}

	void sentTo(Upstream next, long now) {
		this.heardAt = now;
		this.graced = false;
		this.attempt++;
		this.sends++;
		this.tried.add(next.id());
		this.upstream = Optional.of(next);
		this.phase = Phase.RUNNING;
	}

	/**
	 * Returns whether the texts of the turns before are being brought.
	 * @return whether they are
	 */
	boolean bringing() {
		return this.bringing;
	}

	void bring() {
		this.bringing = true;
	}

	/**
	 * Notes that the request is waited for longer than usual.
	 * @return whether it was not before
	 */
	boolean extend() {
		boolean first = !this.extended;
		this.extended = true;
		return first;
	}

	/**
	 * Returns whether all relays hold the turn back, and not its keepers alone.
	 * @return whether they do
	 */
	boolean askedAll() {
		return this.askedAll;
	}

	void askAll() {
		this.askedAll = true;
	}

	OptionalLong lastEvent() {
		return this.lastEvent;
	}

	boolean opened() {
		return this.opened;
	}

	void open() {
		this.opened = true;
	}

	int events() {
		return this.events;
	}

	Optional<Duration> firstEvent() {
		return (this.events > 0) ? Optional.of(Duration.ofMillis(this.firstEventAt - this.asked.now()))
				: Optional.empty();
	}

	/**
	 * Returns when the upstream was last heard of, or the request sent to it.
	 * @return milliseconds of a steady clock
	 */
	long heardAt() {
		return this.heardAt;
	}

	/**
	 * Notes that the silence of the upstream is watched from now on.
	 * @return whether it was not before
	 */
	boolean watch() {
		boolean first = !this.watched;
		this.watched = true;
		return first;
	}

	/**
	 * Returns when the silence of the upstream is to be looked at next.
	 * @return milliseconds of a steady clock
	 */
	long lookAt() {
		return this.lookAt;
	}

	void lookAt(long next) {
		this.lookAt = next;
	}

	/**
	 * Notes that the upstream of this attempt is looked at once more, since this relay
	 * was late itself.
	 * @return whether it was not before
	 */
	boolean grace() {
		boolean first = !this.graced;
		this.graced = true;
		return first;
	}

	boolean expects(long number) {
		return this.lastEvent.isEmpty() || number == this.lastEvent.getAsLong() + 1;
	}

	boolean has(long number) {
		return this.lastEvent.isPresent() && number <= this.lastEvent.getAsLong();
	}

	void passed(RelayEvent.StreamEventReceived event) {
		if (this.events == 0) {
			this.firstEventAt = event.now();
		}
		this.events++;
		this.heardAt = event.now();
		this.lastEvent = OptionalLong.of(event.number());
		if (this.route.keepsTurns()) {
			this.output.writeBytes(event.data());
			this.output.write('\n');
		}
	}

	byte[] output() {
		return this.output.toByteArray();
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	void mayRun() {
		this.mayHaveRun = true;
	}

	boolean reserved() {
		return this.reserved;
	}

	void reserve() {
		this.reserved = true;
	}

	/**
	 * What an exchange waits for. Safe for use by several threads.
	 */
	enum Phase {

		/**
		 * For a permit of its team.
		 */
		WAITING_FOR_PERMIT,

		/**
		 * For the text of the turns before.
		 */
		WAITING_FOR_CHAIN,

		/**
		 * For the log to tell whether the program's budget holds the turn.
		 */
		WAITING_FOR_ORDER,

		/**
		 * For an upstream's answer.
		 */
		RUNNING,

		/**
		 * For the log to hold the turn, before its end is passed on.
		 */
		ENDING

	}

}
