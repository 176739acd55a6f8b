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

	private final RelayEvent.RequestReceived request;

	private final Route route;

	private final CallerIdentity caller;

	private final RequestHead head;

	private final String id;

	private final long deadline;

	private final Set<String> triedUpstreams = new HashSet<>();

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private Phase phase = Phase.WAITING_FOR_CHAIN;

	private byte[] prefix = new byte[0];

	private int attempt;

	private int sendCount;

	private Optional<Upstream> upstream = Optional.empty();

	private OptionalLong lastEvent;

	private boolean streamOpened;

	private int eventCount;

	private boolean mayHaveRun;

	private boolean reserved;

	private long firstEventAt;

	private long lastActivityAt;

	private long nextIdleCheck;

	private boolean idleTimerStarted;

	private boolean graceGranted;

	private boolean fetchingTexts;

	private boolean waitExtended;

	private boolean reservedOnAll;

	private boolean permitted;

	Exchange(RelayEvent.RequestReceived asked, Route route, CallerIdentity caller) {
		this.request = asked;
		this.route = route;
		this.caller = caller;
		this.head = team().map(asked.head()::scopedTo).orElse(asked.head());
		this.id = team().map((team) -> team.scopedId(asked.head().id())).orElse(asked.head().id());
		this.lastEvent = route.resumable() ? asked.head().lastEvent() : OptionalLong.empty();
		Duration patience = asked.head().callerTimeout().orElse(route.timeout());
		Duration longest = (patience.compareTo(route.timeout()) < 0) ? patience : route.timeout();
		this.deadline = asked.now() + longest.toMillis();
	}

	long number() {
		return this.request.exchange();
	}

	RelayEvent.RequestReceived request() {
		return this.request;
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
		return this.request.digest() ^ team().map((team) -> (long) team.name().hashCode() << Integer.SIZE).orElse(0L);
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
	void markPermitted() {
		this.permitted = true;
	}

	boolean permitted() {
		return this.permitted;
	}

	Route route() {
		return this.route;
	}

	long deadline() {
		return this.deadline;
	}

	Duration remaining(long now) {
		return Duration.ofMillis(Math.max(0, this.deadline - now));
	}

	Set<String> triedUpstreams() {
		return this.triedUpstreams;
	}

	Phase phase() {
		return this.phase;
	}

	void transitionTo(Phase next) {
		this.phase = next;
	}

	byte[] prefix() {
		return this.prefix;
	}

	void setPrefix(byte[] found) {
		this.prefix = found;
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
	int sendCount() {
		return this.sendCount;
	}

	void markNotSent() {
		this.sendCount--;
	}

	void recordSend(Upstream next, long now) {
		this.lastActivityAt = now;
		this.graceGranted = false;
		this.attempt++;
		this.sendCount++;
		this.triedUpstreams.add(next.id());
		this.upstream = Optional.of(next);
		this.phase = Phase.RUNNING;
	}

	/**
	 * Returns whether the texts of the turns before are being brought.
	 * @return whether they are
	 */
	boolean fetchingTexts() {
		return this.fetchingTexts;
	}

	void markFetchingTexts() {
		this.fetchingTexts = true;
	}

	/**
	 * Notes that the request is waited for longer than usual.
	 * @return whether it was not before
	 */
	boolean extendWait() {
		boolean first = !this.waitExtended;
		this.waitExtended = true;
		return first;
	}

	/**
	 * Returns whether all relays hold the turn back, and not its keepers alone.
	 * @return whether they do
	 */
	boolean reservedOnAll() {
		return this.reservedOnAll;
	}

	void markReservedOnAll() {
		this.reservedOnAll = true;
	}

	OptionalLong lastEvent() {
		return this.lastEvent;
	}

	boolean streamOpened() {
		return this.streamOpened;
	}

	void markStreamOpened() {
		this.streamOpened = true;
	}

	int eventCount() {
		return this.eventCount;
	}

	Optional<Duration> timeToFirstEvent() {
		return (this.eventCount > 0) ? Optional.of(Duration.ofMillis(this.firstEventAt - this.request.now()))
				: Optional.empty();
	}

	/**
	 * Returns when the upstream was last heard of, or the request sent to it.
	 * @return milliseconds of a steady clock
	 */
	long lastActivityAt() {
		return this.lastActivityAt;
	}

	/**
	 * Notes that the silence of the upstream is watched from now on.
	 * @return whether it was not before
	 */
	boolean markIdleTimerStarted() {
		boolean first = !this.idleTimerStarted;
		this.idleTimerStarted = true;
		return first;
	}

	/**
	 * Returns when the silence of the upstream is to be looked at next.
	 * @return milliseconds of a steady clock
	 */
	long nextIdleCheck() {
		return this.nextIdleCheck;
	}

	void nextIdleCheck(long next) {
		this.nextIdleCheck = next;
	}

	/**
	 * Notes that the upstream of this attempt is looked at once more, since this relay
	 * was late itself.
	 * @return whether it was not before
	 */
	boolean grantGrace() {
		boolean first = !this.graceGranted;
		this.graceGranted = true;
		return first;
	}

	boolean expectsEvent(long number) {
		return this.lastEvent.isEmpty() || number == this.lastEvent.getAsLong() + 1;
	}

	boolean hasEvent(long number) {
		return this.lastEvent.isPresent() && number <= this.lastEvent.getAsLong();
	}

	void recordEvent(RelayEvent.StreamEventReceived event) {
		if (this.eventCount == 0) {
			this.firstEventAt = event.now();
		}
		this.eventCount++;
		this.lastActivityAt = event.now();
		this.lastEvent = OptionalLong.of(event.number());
		if (this.route.storesTurns()) {
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

	void markMayHaveRun() {
		this.mayHaveRun = true;
	}

	boolean reserved() {
		return this.reserved;
	}

	void markReserved() {
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
		WAITING_FOR_BUDGET,

		/**
		 * For an upstream's answer.
		 */
		RUNNING,

		/**
		 * For the log to hold the turn, before its end is passed on.
		 */
		STORING

	}

}
