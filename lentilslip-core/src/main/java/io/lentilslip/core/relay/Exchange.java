package io.lentilslip.core.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.zip.CRC32C;

import io.lentilslip.core.admission.ProgramAdmission.Decision;
import io.lentilslip.core.relay.RequestHead.Resumption;

/**
 * State of one caller's request and its response, from the receipt of the request to the
 * end of the response. Used by one thread.
 */
final class Exchange {

	private final RelayEvent.RequestReceived request;

	private final Route route;

	private final CallerIdentity caller;

	private final RequestHead head;

	private final String id;

	private RunId run;

	private final long deadline;

	private final long targetDigest;

	private final Set<String> triedUpstreams = new HashSet<>();

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private Phase phase = Phase.WAITING_FOR_CHAIN;

	private byte[] prefix = new byte[0];

	private int attempt;

	private int sendCount;

	private Optional<Upstream> upstream = Optional.empty();

	private OptionalLong lastEvent;

	private Optional<SoftwareVersion> softwareVersion = Optional.empty();

	private boolean streamOpened;

	/**
	 * The events that wait until the log has the attempt that brought them.
	 */
	private final List<byte[]> heldEvents = new ArrayList<>();

	private long heldBytes;

	private OptionalInt heldAttempt = OptionalInt.empty();

	private boolean endHeld;

	private int eventCount;

	private boolean mayHaveRun;

	private boolean reserved;

	private long firstEventAt;

	private long lastActivityAt;

	private long sentAt;

	private long nextIdleCheck;

	private boolean written;

	private boolean upstreamEnded;

	private boolean idleTimerStarted;

	private boolean graceGranted;

	private boolean fetchingTexts;

	private boolean waitExtended;

	private boolean reservedOnAll;

	private OptionalLong permitExpiry = OptionalLong.empty();

	private boolean callerBlocked;

	private boolean knownToHaveBegun;

	private Optional<Decision.Refused> loadRefusal = Optional.empty();

	Exchange(RelayEvent.RequestReceived request, Route route, CallerIdentity caller) {
		this.request = request;
		this.route = route;
		this.caller = caller;
		this.head = team().map(request.head()::scopedTo).orElse(request.head());
		this.id = team().map((team) -> team.scopedId(request.head().id())).orElse(request.head().id());
		this.run = RunId.unnumbered(this.id);
		this.lastEvent = resumption().stream().mapToLong(Resumption::lastEvent).findFirst();
		Duration callerTimeout = request.head().callerTimeout().orElse(route.timeout());
		Duration timeout = (callerTimeout.compareTo(route.timeout()) < 0) ? callerTimeout : route.timeout();
		this.deadline = request.headReadAt() + timeout.toMillis();
		this.targetDigest = targetDigest(request.head(), teamDigest());
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
	 * Returns the request id, scoped to the team of the caller.
	 * @return the id, unique across teams
	 */
	String id() {
		return this.id;
	}

	/**
	 * Records which run of the request this is.
	 * @param begun the run
	 */
	void beginRun(RunId begun) {
		this.run = begun;
	}

	/**
	 * Returns the run of the request.
	 * @return the run, unique among all relays even if the caller repeats the id
	 */
	RunId run() {
		return this.run;
	}

	/**
	 * Returns the digest of path, caller and body, which differs between teams.
	 * @return the digest
	 */
	long digest() {
		return PoisonRequests.contentDigest(this.request.digest() ^ teamDigest());
	}

	private long teamDigest() {
		return team().map((team) -> (long) team.name().hashCode() << Integer.SIZE).orElse(0L);
	}

	/**
	 * Returns the digest of host and path, which differs between teams. Requests for one
	 * target share it, whatever their content and program.
	 * @return the digest
	 */
	long targetDigest() {
		return this.targetDigest;
	}

	static long targetDigest(RequestHead head, long teamDigest) {
		CRC32C host = new CRC32C();
		host.update(head.host().getBytes(StandardCharsets.UTF_8));
		CRC32C path = new CRC32C();
		path.update(head.path().getBytes(StandardCharsets.UTF_8));
		return PoisonRequests.targetDigest(((host.getValue() << Integer.SIZE) | path.getValue()) ^ teamDigest);
	}

	/**
	 * Returns the stream that the request resumes.
	 * @return the stream, or empty if the request starts one or the route has none
	 */
	Optional<Resumption> resumption() {
		return this.head.resumption().filter((ignored) -> this.route.resumable());
	}

	CallerIdentity caller() {
		return this.caller;
	}

	/**
	 * Returns the team that the request belongs to.
	 * @return the team, or empty if the caller has none
	 */
	Optional<Team> team() {
		return (this.caller instanceof CallerIdentity.OfTeam identity) ? Optional.of(identity.team())
				: Optional.empty();
	}

	/**
	 * Records that the quota of the team admits the request.
	 * @param expiresAt the time at which the permit expires if the request is not sent
	 */
	void permit(long expiresAt) {
		this.permitExpiry = OptionalLong.of(expiresAt);
	}

	/**
	 * Returns the expiry of the permit from the quota of the team.
	 * @return the time; empty if the request has no permit
	 */
	OptionalLong permitExpiry() {
		return this.permitExpiry;
	}

	/**
	 * Records that other turns of the program have run or are running.
	 */
	void markProgramBegun() {
		this.knownToHaveBegun = true;
	}

	boolean programBegun() {
		return this.knownToHaveBegun;
	}

	/**
	 * Records that there is no room for the program, unless it turns out to have begun.
	 * @param refused the decision
	 */
	void refuseForLoad(Decision.Refused refused) {
		this.loadRefusal = Optional.of(refused);
	}

	Optional<Decision.Refused> loadRefusal() {
		return this.loadRefusal;
	}

	/**
	 * Returns the priority of the request; that of a team overrides that of the route.
	 * @return the priority; 0 is the highest
	 */
	int priority() {
		return team().map(Team::priority).orElse(OptionalInt.empty()).orElse(this.route.priority());
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

	void setPrefix(byte[] prefix) {
		this.prefix = prefix;
	}

	int attempt() {
		return this.attempt;
	}

	Optional<Upstream> upstream() {
		return this.upstream;
	}

	/**
	 * Returns the number of sends that count against the maximum attempts of the route.
	 * @return the number of sends
	 */
	int sendCount() {
		return this.sendCount;
	}

	void markNotSent() {
		this.sendCount--;
	}

	void recordSend(Upstream next, long now) {
		this.sentAt = now;
		this.lastActivityAt = now;
		this.graceGranted = false;
		this.written = false;
		this.upstreamEnded = false;
		this.attempt++;
		this.sendCount++;
		this.triedUpstreams.add(next.id());
		this.upstream = Optional.of(next);
		this.phase = Phase.RUNNING;
	}

	/**
	 * Records that the request was written to its upstream.
	 * @param now the current time
	 */
	void recordWrite(long now) {
		this.lastActivityAt = now;
		this.written = true;
	}

	/**
	 * Returns whether the current attempt was written to its upstream. Otherwise it was
	 * not run, and is never sent once it is cancelled.
	 * @return {@code true} if it was written
	 */
	boolean written() {
		return this.written;
	}

	/**
	 * Records that an upstream incarnation has ended. The request may still be answered,
	 * since an upstream may serve for a while after its removal.
	 * @param incarnation the incarnation
	 */
	void recordUpstreamEnd(String incarnation) {
		this.upstreamEnded = this.upstreamEnded
				|| this.upstream.map(Upstream::incarnationId).filter(incarnation::equals).isPresent();
	}

	/**
	 * Returns whether the upstream of the current attempt has ended without a drain.
	 * @return {@code true} if it has
	 */
	boolean upstreamEnded() {
		return this.upstreamEnded;
	}

	/**
	 * Returns whether the missing texts of the chain are being fetched.
	 * @return {@code true} if a fetch has started
	 */
	boolean fetchingTexts() {
		return this.fetchingTexts;
	}

	void markFetchingTexts() {
		this.fetchingTexts = true;
	}

	/**
	 * Records that the wait for the chain is extended.
	 * @return {@code true} on the first call
	 */
	boolean extendWait() {
		boolean first = !this.waitExtended;
		this.waitExtended = true;
		return first;
	}

	/**
	 * Returns whether all relays hold a reservation for the turn, not only the replicas
	 * of its program.
	 * @return {@code true} if all relays hold one
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
	 * Returns the time since the first event of the stream.
	 * @param now the current time
	 * @return the time, or empty if there was no event
	 */
	Optional<Duration> timeSinceFirstEvent(long now) {
		return (this.eventCount > 0) ? Optional.of(Duration.ofMillis(now - this.firstEventAt)) : Optional.empty();
	}

	/**
	 * Returns when the current attempt was sent.
	 * @return milliseconds of a monotonic clock
	 */
	long sentAt() {
		return this.sentAt;
	}

	/**
	 * Returns when the upstream last sent an event, or when the request was written or,
	 * before that, the upstream selected.
	 * @return milliseconds of a monotonic clock
	 */
	long lastActivityAt() {
		return this.lastActivityAt;
	}

	/**
	 * Records that the idle timer of the exchange is running.
	 * @return {@code true} on the first call
	 */
	boolean markIdleTimerStarted() {
		boolean first = !this.idleTimerStarted;
		this.idleTimerStarted = true;
		return first;
	}

	/**
	 * Records whether the upstream is not read because its caller does not read. A
	 * blocked stream is not idle.
	 * @param blocked whether it is
	 * @param now the current time
	 */
	void callerBlocked(boolean blocked, long now) {
		this.callerBlocked = blocked;
		this.lastActivityAt = now;
	}

	boolean callerBlocked() {
		return this.callerBlocked;
	}

	/**
	 * Returns when the upstream is next checked for being idle.
	 * @return milliseconds of a monotonic clock
	 */
	long nextIdleCheck() {
		return this.nextIdleCheck;
	}

	void nextIdleCheck(long next) {
		this.nextIdleCheck = next;
	}

	/**
	 * Records that the idle timeout of the current attempt is extended once, because the
	 * timer of this relay fired late.
	 * @return {@code true} on the first call for the attempt
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

	/**
	 * Returns the software version at which the stream has to continue.
	 * @return the version, or empty if the caller has no event of a resumable stream
	 */
	Optional<SoftwareVersion> softwareVersion() {
		return this.softwareVersion;
	}

	void continueAt(SoftwareVersion version) {
		this.softwareVersion = Optional.of(version);
	}

	void recordEvent(RelayEvent.StreamEventReceived event) {
		if (this.route.resumable() && this.softwareVersion.isEmpty()) {
			this.softwareVersion = this.upstream.map(SoftwareVersion::of);
		}
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

	/**
	 * Holds the events of the current attempt and of later ones until
	 * {@link #releaseEvents(int)}.
	 */
	void holdEvents() {
		this.heldAttempt = OptionalInt.of(this.attempt);
	}

	/**
	 * Adds an event to the held ones, if events are held.
	 * @param raw the event
	 * @return whether it is held
	 */
	boolean holdEvent(byte[] raw) {
		if (this.heldAttempt.isEmpty()) {
			return false;
		}
		this.heldBytes += raw.length;
		return this.heldEvents.add(raw);
	}

	/**
	 * Holds the end of the stream, if events are held.
	 * @return whether it is held
	 */
	boolean holdEnd() {
		this.endHeld = this.heldAttempt.isPresent();
		return this.endHeld;
	}

	boolean endHeld() {
		return this.endHeld;
	}

	/**
	 * Returns the held events once the log has the attempt that brought them.
	 * @param storedAttempt the number of an attempt that the log has
	 * @return the events to be forwarded; empty if they are still held
	 */
	List<byte[]> releaseEvents(int storedAttempt) {
		if (this.heldAttempt.isEmpty() || storedAttempt < this.heldAttempt.getAsInt()) {
			return List.of();
		}
		this.heldAttempt = OptionalInt.empty();
		List<byte[]> released = List.copyOf(this.heldEvents);
		this.heldEvents.clear();
		this.heldBytes = 0;
		return released;
	}

	/**
	 * Returns the size of what is kept of the response.
	 * @return the bytes of the text of the turn and of the events that are held
	 */
	long keptBytes() {
		return this.output.size() + this.heldBytes;
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
	 * What an exchange is waiting for. Safe for use by several threads.
	 */
	enum Phase {

		/**
		 * A permit from the quota of its team.
		 */
		WAITING_FOR_PERMIT,

		/**
		 * The software version of the stream that the request resumes.
		 */
		WAITING_FOR_VERSION,

		/**
		 * The texts of the previous turns.
		 */
		WAITING_FOR_CHAIN,

		/**
		 * The decision whether the budget of the program admits the turn.
		 */
		WAITING_FOR_BUDGET,

		/**
		 * The response of an upstream.
		 */
		RUNNING,

		/**
		 * The log's confirmation of the turn, before the end of the stream is forwarded.
		 */
		STORING

	}

}
