package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.quota.QuotaTolerance;
import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import io.lentilslip.core.relay.Upstreams.UpstreamState;

/**
 * Mutable state of a relay, with the effects of the current event. The rules read and
 * change it; it makes no decisions itself. Used by one thread.
 */
final class RelayState {

	/**
	 * A time before all others of the monotonic clock.
	 */
	static final long NEVER = Long.MIN_VALUE / 2;

	private static final long MAX_FIRST_REQUEST_ID = 1L << 48;

	/**
	 * The maximum number of services with streams that are remembered.
	 */
	private static final int MAX_SERVICES = 1024;

	final int maxInputBytes;

	final ProgramTokens tokens;

	final TurnCache turnCache;

	final PoisonRequests poisonRequests = new PoisonRequests();

	final RequestTargets requestTargets = new RequestTargets();

	final ResponseTimes responseTimes = new ResponseTimes();

	final KeptResponses keptResponses;

	/**
	 * The turns that the log has, by the age of their records.
	 */
	final RetainedTurns retainedTurns = new RetainedTurns();

	/**
	 * The programs whose usage the log has, by the age of their entries.
	 */
	final RetainedPrograms retainedPrograms;

	final FailureRules failureRules = new FailureRules(this);

	final Upstreams upstreams = new Upstreams();

	final UncommittedEntries uncommitted;

	/**
	 * The relays of the site and the programs that each replicates.
	 */
	final ProgramReplicas replicas = new ProgramReplicas();

	final UpstreamIdleTimeout idleTimeout = new UpstreamIdleTimeout(this);

	final SplittableRandom random;

	private final SplittableRandom runNumbers;

	/**
	 * The id after which the ids of permit requests begin. A random one, so that late
	 * replies to an earlier incarnation of this relay match no request.
	 */
	final long firstRequestId;

	final UpstreamSelector upstreamSelector;

	/**
	 * The exchanges in flight, by number.
	 */
	final Map<Long, Exchange> exchanges = new HashMap<>();

	/**
	 * The turns of this relay that wait for the log before their streams end, by run.
	 */
	final Map<RunId, TextRules.PendingTurn> pendingTurns = new LinkedHashMap<>();

	/**
	 * The exchanges whose conditional reservations wait for their order in the log, by
	 * run.
	 */
	final Map<RunId, Long> conditionalReservations = new LinkedHashMap<>();

	/**
	 * The undecided usage polls of this relay, by run.
	 */
	final Map<RunId, UsagePoll> polls = new LinkedHashMap<>();

	/**
	 * The reservations that this relay appends to the log for other relays, by run.
	 * Bounded: the oldest are dropped, and their relays retry elsewhere.
	 */
	final Map<RunId, RelayEvent.ReservationRequested> proxiedReservations = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<RunId, RelayEvent.ReservationRequested> eldest) {
			return size() > RelaySettings.MAX_PROXIED_RESERVATIONS;
		}
	};

	/**
	 * The exchanges that wait for the texts of their chains, or for the log to be read
	 * after a pause of the process, by number.
	 */
	final Map<Long, Exchange> awaitingChain = new LinkedHashMap<>();

	/**
	 * The exchanges that wait for the software versions of the streams that they resume,
	 * by number.
	 */
	final Map<Long, Exchange> awaitingVersion = new LinkedHashMap<>();

	/**
	 * The requests for a complete list of upstreams, by the number of the exchange that
	 * waits for it.
	 */
	final Map<Long, StreamRules.PendingConfirmation> awaitingUpstreams = new LinkedHashMap<>();

	/**
	 * The exchanges whose events wait until the log has the attempts that brought them,
	 * by run.
	 */
	final Map<RunId, Long> awaitingStreamRecord = new LinkedHashMap<>();

	/**
	 * The services of which the log has streams from before this relay started.
	 */
	final Set<String> servicesWithHistory = new HashSet<>();

	/**
	 * The software versions of streams that callers may resume.
	 */
	final StreamVersions streamVersions = new StreamVersions();

	/**
	 * The turns that this relay writes for other relays, by run. Bounded: the oldest are
	 * dropped, and their relays retry.
	 */
	final Map<RunId, TextRules.PeerTurn> peerTurns = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<RunId, TextRules.PeerTurn> eldest) {
			return size() > RelaySettings.MAX_PROXIED_TURN_WRITES;
		}
	};

	/**
	 * The turns whose texts are being read from the log. Each read ends with an event,
	 * whether or not the text was found.
	 */
	final Set<RunId> pendingReads = new HashSet<>();

	/**
	 * The relays that this one is connected to.
	 */
	final Set<String> linkedPeers = new HashSet<>();

	/**
	 * The partition to which this relay appends texts.
	 */
	final int textPartition;

	/**
	 * The amount by which the quotas of teams may be exceeded.
	 */
	final QuotaTolerance quotaTolerance;

	/**
	 * For how long the log keeps a record; zero if without limit.
	 */
	final Duration logRetention;

	/**
	 * Whether new programs are refused while their service has no room.
	 */
	final boolean admission;

	/**
	 * The last known end offset of the text partition; negative if unknown.
	 */
	long textEndOffset = -1;

	/**
	 * When an append of texts was last slow, by the monotonic clock.
	 */
	long logSlowAt = NEVER;

	/**
	 * By how much the event loop of this relay was last late.
	 */
	Duration eventLoopDelay = Duration.ZERO;

	/**
	 * The address by which other relays know this one; empty until it listens for them.
	 */
	String name = "";

	Optional<RouteTable> routeTable = Optional.empty();

	/**
	 * The routes by which streams may have begun that callers may resume.
	 */
	final EarlierRoutes earlierRoutes = new EarlierRoutes();

	/**
	 * For how long after its start a stream may be resumed.
	 */
	private Duration streamRetention = Duration.ZERO;

	/**
	 * The longer retention of an earlier route table, until streams that began under it
	 * can't be resumed any more.
	 */
	private Duration earlierStreamRetention = Duration.ZERO;

	private long earlierStreamsUntil = NEVER;

	boolean caughtUp;

	boolean logStale;

	long caughtUpAt;

	/**
	 * Whether the log had been written to shortly before this relay first read its end.
	 */
	boolean logWasRecent;

	/**
	 * Whether this relay knows all reservations and settlements, including those that the
	 * log does not have.
	 */
	boolean ledgerComplete;

	Connectivity connectivity = Connectivity.LOG;

	boolean ready;

	long now;

	/**
	 * When this relay started; the start of time if the whole site did, so that no stream
	 * is older.
	 */
	private long startedAt;

	private boolean started;

	/**
	 * Since when this relay has followed the list of upstreams without a gap; the start
	 * of time if the whole site started with it.
	 */
	private long upstreamsFollowedSince;

	long lastLogReadAt;

	/**
	 * When the last read that reached the end of the log was sent.
	 */
	long logEndReadAt = NEVER;

	private List<RelayEffect> effects = new ArrayList<>();

	RelayState(RelaySettings settings) {
		this.maxInputBytes = settings.maxInputBytes();
		this.textPartition = settings.textPartition();
		this.quotaTolerance = settings.quotaTolerance();
		this.logRetention = settings.logRetention();
		this.admission = settings.admission();
		this.tokens = new ProgramTokens(settings.maxPrograms());
		this.retainedPrograms = new RetainedPrograms(settings.maxPrograms());
		this.turnCache = new TurnCache(settings.turnCacheBytes());
		this.keptResponses = new KeptResponses(settings.turnCacheBytes());
		this.ledgerComplete = settings.bootstrap();
		this.started = settings.bootstrap();
		this.startedAt = NEVER;
		this.upstreamsFollowedSince = settings.bootstrap() ? NEVER : Long.MAX_VALUE;
		this.random = new SplittableRandom(settings.seed());
		this.runNumbers = new SplittableRandom(~settings.seed());
		this.firstRequestId = new SplittableRandom(settings.seed()).nextLong(MAX_FIRST_REQUEST_ID);
		this.uncommitted = new UncommittedEntries(this.random.nextLong(RelaySettings.ADOPTION_JITTER.toMillis()));
		this.upstreamSelector = new UpstreamSelector(settings.zone(), this.random);
	}

	/**
	 * Sets the current time.
	 * @param time the time of the event that is handled
	 */
	void advanceTo(long time) {
		this.now = time;
		if (!this.started) {
			this.started = true;
			this.startedAt = time;
		}
	}

	void emit(RelayEffect effect) {
		this.effects.add(effect);
	}

	/**
	 * Appends an entry that is not replicated.
	 * @param entry the entry
	 */
	void write(LedgerEntry entry) {
		write(entry, List.of());
	}

	/**
	 * Appends an entry and sends it to the other replicas of its program.
	 * @param entry the entry
	 * @param program the program
	 */
	void writeAndReplicate(LedgerEntry entry, String program) {
		write(entry, otherReplicas(program));
	}

	/**
	 * Appends an entry and sends it to other relays.
	 * @param entry the entry
	 * @param replicas the relays that it is sent to
	 */
	void write(LedgerEntry entry, List<String> replicas) {
		recordUncommitted(entry);
		emit(new RelayEffect.AppendEntry(entry, replicas));
	}

	/**
	 * Records that an upstream failed while it ran a request. Most requests of a crash
	 * are harmless, so a first failure reaches relays without a link through the log
	 * only. A request that failed before may be the cause, and its caller may retry it at
	 * any relay at once.
	 * @param failed the failure
	 */
	void upstreamFailed(LedgerEntry.UpstreamFailed failed) {
		int failures = recordFailure(failed);
		write(failed, (failures > 1) ? otherRelays() : List.copyOf(this.linkedPeers));
	}

	/**
	 * Counts the failure of an upstream, at this relay or another one.
	 * @param failed the failure
	 * @return the number of incarnations that failed under the request, up to the maximum
	 */
	int recordFailure(LedgerEntry.UpstreamFailed failed) {
		if (!failed.isTakenBack()) {
			this.requestTargets.recordFailure(failed.digest(), this.now);
		}
		int failures = this.poisonRequests.recordFailure(failed);
		if (this.turnCache.run(failed.request()).filter(failed.run()::matches).isEmpty()) {
			return failures;
		}
		// The run has been stored, so its text is whole.
		this.poisonRequests.recordAnswer(failed.run());
		return this.poisonRequests.failures(failed.digest());
	}

	/**
	 * Returns whether a request is treated as the cause of failures of upstreams.
	 * @param exchange the exchange of the request
	 * @return whether it must not be sent
	 */
	boolean isPoison(Exchange exchange) {
		if (this.poisonRequests.isPoison(exchange.digest())) {
			return true;
		}
		if (!this.poisonRequests.isPoison(exchange.targetDigest())) {
			return false;
		}
		return switch (this.requestTargets.decide(exchange, this.now)) {
			case ADMIT -> false;
			case REFUSE -> {
				this.poisonRequests.confirm(exchange.targetDigest());
				yield true;
			}
			case RETRY -> {
				this.poisonRequests.suspectAgain(exchange.targetDigest());
				yield false;
			}
		};
	}

	/**
	 * Records that an upstream answered a request and has not failed.
	 * @param exchange the exchange of the request
	 * @param successful whether the answer is a success, so that the earlier failures of
	 * the request are taken back at all relays
	 */
	void requestAnswered(Exchange exchange, boolean successful) {
		this.failureRules.answered(exchange);
		for (long digest : List.of(exchange.digest(), exchange.targetDigest())) {
			for (String upstream : this.poisonRequests.recordSuccess(digest)) {
				if (successful) {
					write(LedgerEntry.UpstreamFailed.takenBack(digest, upstream), List.copyOf(this.linkedPeers));
				}
			}
		}
		this.requestTargets.recordAnswer(exchange);
	}

	/**
	 * Records an attempt of a stream that was read from the log.
	 * @param attempt the attempt
	 * @param writtenAt when it was written
	 */
	void recordLoggedStream(StreamAttempt attempt, long writtenAt) {
		if (writtenAt < this.startedAt && this.servicesWithHistory.size() < MAX_SERVICES) {
			this.servicesWithHistory.add(attempt.version().service());
		}
	}

	/**
	 * Sets for how long a stream may be resumed that begins now.
	 * @param retention the time after its start
	 */
	void updateStreamRetention(Duration retention) {
		Duration earlier = streamRetention();
		if (retention.compareTo(earlier) < 0) {
			this.earlierStreamRetention = earlier;
			this.earlierStreamsUntil = this.now + earlier.toMillis();
		}
		this.streamRetention = retention;
	}

	/**
	 * Returns for how long after its start any stream may be resumed.
	 * @return the time
	 */
	Duration streamRetention() {
		boolean earlier = this.now <= this.earlierStreamsUntil
				&& this.earlierStreamRetention.compareTo(this.streamRetention) > 0;
		return earlier ? this.earlierStreamRetention : this.streamRetention;
	}

	/**
	 * Records that the complete list of upstreams was read.
	 */
	void upstreamsListed() {
		this.upstreamsFollowedSince = Math.min(this.upstreamsFollowedSince, this.now);
	}

	/**
	 * Records that upstreams may have joined and left unseen. The log does not show the
	 * versions of streams that are no turn, so what it has shown no longer counts.
	 */
	void upstreamChangesMissed() {
		this.upstreamsFollowedSince = Long.MAX_VALUE;
		this.servicesWithHistory.clear();
	}

	/**
	 * Returns whether this relay knows the software versions that a service has had since
	 * the oldest stream that callers may resume. A relay that has just started knows only
	 * those that are listed and those of streams in the log. If the log has none from
	 * before, the upstreams of another version may have left in the meantime.
	 * @param service the service
	 * @return whether it does
	 */
	boolean knowsVersionHistory(String service) {
		return this.upstreamsFollowedSince < this.now - streamRetention().toMillis()
				|| this.servicesWithHistory.contains(service);
	}

	/**
	 * Raises the known end offset of the text partition to a location in it. A location
	 * is never beyond the end of its partition, so it bounds later appends as well.
	 * @param location the location of a text of any relay
	 */
	void raiseTextOffset(TextLocation location) {
		if (location.partition() == this.textPartition && this.textEndOffset >= 0) {
			this.textEndOffset = Math.max(this.textEndOffset, location.minOffset());
		}
	}

	void recordStreamAttempt(RunId run, StreamAttempt attempt) {
		this.streamVersions.record(run, attempt, this.now, streamRetention());
		this.upstreams.recordVersion(attempt.version(), this.now);
	}

	void recordFinalAttempt(RunId run, StreamAttempt attempt) {
		this.streamVersions.recordFinal(run, attempt, this.now, streamRetention());
		this.upstreams.recordVersion(attempt.version(), this.now);
	}

	Optional<StreamAttempt> findFinalAttempt(String request) {
		return this.streamVersions.findFinal(request, this.logEndReadAt,
				streamRetention().dividedBy(RelaySettings.STREAM_ATTEMPTS));
	}

	/**
	 * Records an entry as uncommitted. A conditional reservation is not counted until it
	 * is read from the log, whose order decides on it.
	 * @param entry the entry
	 */
	void recordUncommitted(LedgerEntry entry) {
		if (!(entry instanceof LedgerEntry.Reserved reserved) || !reserved.conditional()) {
			this.uncommitted.add(entry, this.name, this.now);
		}
	}

	List<String> otherReplicas(String program) {
		return excludingSelf(this.replicas.replicasOf(program));
	}

	List<String> otherRelays() {
		return excludingSelf(this.replicas.addresses());
	}

	private List<String> excludingSelf(Collection<String> relays) {
		return relays.stream().filter((relay) -> !relay.equals(this.name)).toList();
	}

	/**
	 * Returns whether the relays of the site are known. Before that, a relay that listens
	 * for others would decide without the other replicas.
	 * @return {@code true} if they are known, or if this relay does not listen for others
	 */
	boolean membershipKnown() {
		return this.replicas.hasMembers() || this.name.isEmpty();
	}

	/**
	 * Returns whether this relay knows all reservations and settlements, as far as it has
	 * received them.
	 * @return {@code true} if it has read the log since the last pause and misses none
	 */
	boolean upToDate() {
		return this.caughtUp && !this.logStale && this.ledgerComplete;
	}

	void report(Notice notice) {
		emit(new RelayEffect.WriteNotice(notice));
	}

	List<RelayEffect> drainEffects() {
		List<RelayEffect> drained = this.effects;
		this.effects = new ArrayList<>();
		return drained;
	}

	Optional<Exchange> find(RelayEvent.ExchangeEvent event) {
		return Optional.ofNullable(this.exchanges.get(event.exchange()));
	}

	Optional<UpstreamState> upstreamOf(Exchange exchange) {
		return exchange.upstream().flatMap((upstream) -> this.upstreams.findIncarnation(upstream.incarnationId()));
	}

	Optional<RouteTable.Engine> engine(String service) {
		return this.routeTable.flatMap((table) -> Optional.ofNullable(table.services().get(service)))
			.flatMap(RouteTable.Service::engine);
	}

	long cacheTokens(Upstream upstream) {
		return engine(upstream.service()).map(RouteTable.Engine::cacheTokens).orElse(0L);
	}

	/**
	 * Returns the identity of a run that begins.
	 * @param exchange its exchange
	 * @return the run, after all known ones of the request
	 */
	RunId newRun(Exchange exchange) {
		int number = this.runNumbers.nextInt();
		Optional<RunId> counted = exchange.head()
			.turn()
			.flatMap((turn) -> this.tokens.lastRun(turn.program(), exchange.id()));
		return Stream.of(counted, this.streamVersions.lastRun(exchange.id()), this.turnCache.lastRun(exchange.id()))
			.flatMap(Optional::stream)
			.max(Comparator.naturalOrder())
			.map((last) -> last.next(number))
			.orElseGet(() -> RunId.first(exchange.id(), number));
	}

	/**
	 * Finds the poll that another relay replies to. A relay of an earlier version does
	 * not name the run.
	 * @param run the run in the reply
	 * @return the poll, or empty if it is decided already
	 */
	Optional<UsagePoll> findPoll(RunId run) {
		if (run.numbered()) {
			return Optional.ofNullable(this.polls.get(run));
		}
		return this.polls.values().stream().filter((poll) -> poll.run().request().equals(run.request())).findFirst();
	}

	void startTimer(Exchange exchange, Duration delay, TimerKind timer) {
		emit(new RelayEffect.StartTimer(exchange.number(), delay, timer));
	}

}
