package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.quota.QuotaTolerance;
import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import io.lentilslip.core.relay.Upstreams.UpstreamState;

/**
 * What a relay knows, and what is to be done about the event at hand. The rules read and
 * change it; a method here decides nothing. Used by one thread.
 */
final class RelayState {

	/**
	 * A time before all others of a steady clock.
	 */
	static final long NEVER = Long.MIN_VALUE / 2;

	final int maxInputBytes;

	final ProgramTokens tokens;

	final TurnCache turnCache;

	final PoisonRequests poisonRequests = new PoisonRequests();

	final Upstreams upstreams = new Upstreams();

	final UncommittedEntries uncommitted;

	/**
	 * Which relays keep which program.
	 */
	final ProgramReplicas replicas = new ProgramReplicas();

	final UpstreamIdleTimeout idleTimeout = new UpstreamIdleTimeout(this);

	final SplittableRandom random;

	final UpstreamSelector upstreamSelector;

	/**
	 * The exchanges under way, by number.
	 */
	final Map<Long, Exchange> exchanges = new HashMap<>();

	/**
	 * The turns of this relay whose end waits for the log, by request.
	 */
	final Map<String, TextRules.PendingTurn> pendingTurns = new LinkedHashMap<>();

	/**
	 * The exchanges that wait for their place in the log, by request.
	 */
	final Map<String, Long> conditionalReservations = new LinkedHashMap<>();

	/**
	 * The questions of this relay that are not decided yet, by request.
	 */
	final Map<String, UsagePoll> polls = new LinkedHashMap<>();

	/**
	 * The questions of other relays whose turns get a place in the log here, by request.
	 * Bounded: the oldest are given up, and their relays ask elsewhere.
	 */
	final Map<String, RelayEvent.ReservationRequested> proxiedReservations = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, RelayEvent.ReservationRequested> eldest) {
			return size() > RelaySettings.MAX_PROXIED_RESERVATIONS;
		}
	};

	/**
	 * The exchanges that wait for the text of the turns before, or for the log to be read
	 * after a sleep, by number.
	 */
	final Map<Long, Exchange> awaitingChain = new LinkedHashMap<>();

	/**
	 * The turns that are written for other relays, by request. Bounded: the oldest are
	 * given up, and their relays ask again.
	 */
	final Map<String, TextRules.PeerTurn> peerTurns = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, TextRules.PeerTurn> eldest) {
			return size() > RelaySettings.MAX_PROXIED_TURN_WRITES;
		}
	};

	/**
	 * The turns whose texts are being read from the log. Each reading ends, found or not.
	 */
	final Set<String> pendingReads = new HashSet<>();

	/**
	 * The relays that this one is linked to.
	 */
	final Set<String> linkedPeers = new HashSet<>();

	/**
	 * The partition to which this relay writes texts.
	 */
	final int textPartition;

	/**
	 * How far quotas may be passed.
	 */
	final QuotaTolerance quotaTolerance;

	/**
	 * Where that partition ended when it was last heard of; negative before that.
	 */
	long textEndOffset = -1;

	/**
	 * When the log was last slow to store texts of this relay.
	 */
	long logSlowAt = NEVER;

	/**
	 * The name by which other relays know this one; empty until it has a port for them.
	 */
	String name = "";

	Optional<RouteTable> routeTable = Optional.empty();

	boolean caughtUp;

	boolean logStale;

	long caughtUpAt;

	/**
	 * Whether the log had been written to shortly before this relay first read its end.
	 */
	boolean logWasRecent;

	/**
	 * Whether all is known here that programs were given, also without the log.
	 */
	boolean ledgerComplete;

	Connectivity connectivity = Connectivity.LOG;

	boolean ready;

	long now;

	long lastLogReadAt;

	private List<RelayEffect> effects = new ArrayList<>();

	RelayState(RelaySettings settings) {
		this.maxInputBytes = settings.maxInputBytes();
		this.textPartition = settings.textPartition();
		this.quotaTolerance = settings.quotaTolerance();
		this.tokens = new ProgramTokens(settings.maxPrograms());
		this.turnCache = new TurnCache(settings.turnCacheBytes());
		this.ledgerComplete = settings.bootstrap();
		this.random = new SplittableRandom(settings.seed());
		this.uncommitted = new UncommittedEntries(this.random.nextLong(RelaySettings.ADOPTION_JITTER.toMillis()));
		this.upstreamSelector = new UpstreamSelector(settings.zone(), this.random);
	}

	void emit(RelayEffect effect) {
		this.effects.add(effect);
	}

	/**
	 * Writes an entry that nobody has to know before the log shows it.
	 * @param entry the entry
	 */
	void write(LedgerEntry entry) {
		write(entry, List.of());
	}

	/**
	 * Writes an entry of a program, and tells it to the other relays that keep the
	 * program.
	 * @param entry the entry
	 * @param program the program
	 */
	void writeAndReplicate(LedgerEntry entry, String program) {
		write(entry, otherReplicas(program));
	}

	/**
	 * Writes an entry, and tells it to some relays.
	 * @param entry the entry
	 * @param report the relays
	 */
	void write(LedgerEntry entry, List<String> replicas) {
		recordUncommitted(entry);
		emit(new RelayEffect.AppendEntry(entry, replicas));
	}

	/**
	 * Notes what the log does not show yet. A turn that contends counts from its place
	 * there on.
	 * @param entry the entry
	 */
	void recordUncommitted(LedgerEntry entry) {
		if (!(entry instanceof LedgerEntry.Reserved reserved) || !reserved.conditional()) {
			this.uncommitted.add(entry, this.name, this.now);
		}
	}

	List<String> otherReplicas(String program) {
		return withoutOwn(this.replicas.replicasOf(program));
	}

	List<String> otherRelays() {
		return withoutOwn(this.replicas.addresses());
	}

	private List<String> withoutOwn(Collection<String> relays) {
		return relays.stream().filter((relay) -> !relay.equals(this.name)).toList();
	}

	/**
	 * Returns whether it is known which relays keep programs. One that has a port for
	 * others and has not read yet who they are would decide alone on what they decide
	 * together.
	 * @return whether it is
	 */
	boolean membershipKnown() {
		return this.replicas.hasMembers() || this.name.isEmpty();
	}

	/**
	 * Returns whether this relay knows all that other relays gave to programs, as far as
	 * it was told.
	 * @return whether it does
	 */
	boolean upToDate() {
		return this.caughtUp && !this.logStale && this.ledgerComplete;
	}

	void report(Notice notice) {
		emit(new RelayEffect.WriteNotice(notice));
	}

	List<RelayEffect> drainEffects() {
		List<RelayEffect> taken = this.effects;
		this.effects = new ArrayList<>();
		return taken;
	}

	Optional<Exchange> find(RelayEvent.ExchangeEvent event) {
		return Optional.ofNullable(this.exchanges.get(event.exchange()));
	}

	Optional<UpstreamState> upstreamOf(Exchange exchange) {
		return exchange.upstream().flatMap((upstream) -> this.upstreams.findIncarnation(upstream.incarnationId()));
	}

	Optional<RouteTable.Engine> engine(String service) {
		return this.routeTable.flatMap((known) -> Optional.ofNullable(known.services().get(service)))
			.flatMap(RouteTable.Service::engine);
	}

	long cacheTokens(Upstream upstream) {
		return engine(upstream.service()).map(RouteTable.Engine::cacheTokens).orElse(0L);
	}

	void startTimer(Exchange exchange, Duration delay, TimerKind reminder) {
		emit(new RelayEffect.StartTimer(exchange.number(), delay, reminder));
	}

}
