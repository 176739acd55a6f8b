package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;
import io.lentilslip.core.quota.Permits;
import io.lentilslip.core.quota.Quota;
import io.lentilslip.core.quota.TeamBuckets;
import io.lentilslip.core.quota.TeamBuckets.Role;
import io.lentilslip.core.relay.Exchange.Phase;
import io.lentilslip.core.relay.RelayEvent.TimerKind;

/**
 * Admits requests within the quotas of their teams. Each team has three coordinators,
 * selected by rendezvous hashing. The first one grants permits; the next one stands in if
 * it does not respond, and requests what it grants from the first one, which may only be
 * slow. Relays request permits in batches, and a request with an available permit is
 * admitted immediately. If the quota is exhausted, requests of active programs are held
 * for a fraction of the latency target before they are rejected. Not thread-safe.
 */
final class QuotaRules {

	/**
	 * The time to wait for the reply of a coordinator before the next one is asked.
	 */
	private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(60);

	/**
	 * The fraction of a route's latency target for which a request of an active program
	 * is held before it is rejected.
	 */
	private static final int HOLD_TIMEOUT_DIVISOR = 4;

	/**
	 * The fraction of a route's latency target for which a request is held while the
	 * reply of the first coordinator is late.
	 */
	private static final int SLOW_HOLD_DIVISOR = 1;

	/**
	 * The time for which a relay that did not reply is suspected to have failed.
	 */
	private static final Duration SUSPICION_TIMEOUT = Duration.ofMillis(500);

	/**
	 * The time without any reply after which a preceding coordinator has failed. Much
	 * longer than the response timeout, because a slow coordinator still grants permits,
	 * and two coordinators must not both grant the full rate.
	 */
	private static final Duration FAILURE_TIMEOUT = Duration.ofMillis(400);

	/**
	 * The time for which a probe without a reply, and the end of a connection, count.
	 * Nothing is known of a coordinator that was probed longer ago.
	 */
	private static final Duration PROBE_EXPIRY = Duration.ofSeconds(2);

	/**
	 * The maximum number of teams with permits at this relay.
	 */
	private static final int MAX_TEAMS = 4096;

	/**
	 * The maximum number of requests of a team that may still be answered after another
	 * coordinator was asked.
	 */
	private static final int MAX_REPLACED_REQUESTS = 64;

	private final RelayState state;

	private final ExchangeCompletion completion;

	private final Consumer<Exchange> admitted;

	private final TeamBuckets buckets;

	private final Map<String, TeamQueue> queues = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, TeamQueue> eldest) {
			return size() > MAX_TEAMS && eldest.getValue().waiting.isEmpty();
		}
	};

	private final Map<String, Long> suspectedAt = new HashMap<>();

	private final Map<String, Probe> probes = new HashMap<>();

	/**
	 * When the connections to relays ended that are not connected again.
	 */
	private final Map<String, Long> disconnectedAt = new HashMap<>();

	/**
	 * The coordinators that were requested to cover grants of this relay, by request.
	 */
	private final Map<Long, String> covered = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
			return size() > MAX_TEAMS;
		}
	};

	private long lastRequestId;

	/**
	 * Creates rules without permits.
	 * @param state the state of the relay
	 * @param completion ends exchanges
	 * @param admitted receives each exchange that is admitted after waiting
	 */
	QuotaRules(RelayState state, ExchangeCompletion completion, Consumer<Exchange> admitted) {
		this.state = state;
		this.completion = completion;
		this.admitted = admitted;
		this.buckets = new TeamBuckets(state.quotaTolerance);
		this.lastRequestId = state.firstRequestId;
	}

	/**
	 * Admits a request if a permit of its team is available, and requests one otherwise.
	 * @param exchange the exchange
	 * @return whether it is admitted immediately; otherwise it is admitted or rejected
	 * later
	 */
	boolean admit(Exchange exchange) {
		Optional<Team> team = exchange.team().filter((candidate) -> candidate.quota().isPresent());
		if (team.isEmpty()) {
			return true;
		}
		if (!this.state.membershipKnown()) {
			this.completion.refuse(exchange, Refusal.NOT_READY, Optional.of(RelaySettings.RETRY_AFTER_LOG_READ));
			return false;
		}
		TeamQueue queue = this.queues.computeIfAbsent(team.get().name(), TeamQueue::new);
		// Permits are prefetched only while the quota has capacity for new
		// programs, so this program can be admitted.
		OptionalLong expiry = queue.permits.acquire(this.state.now);
		if (expiry.isPresent()) {
			exchange.head().program().ifPresent((program) -> queue.permits.markAdmitted(program.hashCode()));
			exchange.permit(expiry.getAsLong());
			return true;
		}
		exchange.transitionTo(Phase.WAITING_FOR_PERMIT);
		queue.waiting.put(exchange.number(), exchange);
		this.state.startTimer(exchange, RESPONSE_TIMEOUT, TimerKind.PERMIT);
		requestPermitsIfIdle(queue);
		return false;
	}

	private static boolean isActive(TeamQueue queue, Exchange exchange) {
		Optional<String> program = exchange.head().program();
		return program.isEmpty() || queue.permits.isAdmitted(program.get().hashCode());
	}

	private void requestPermitsIfIdle(TeamQueue queue) {
		if (queue.pending.isEmpty() && !queue.waiting.isEmpty()) {
			requestPermits(queue, 0);
		}
	}

	private void requestPermits(TeamQueue queue, int rank) {
		List<String> coordinators = coordinators(queue.team);
		if (rank >= coordinators.size()) {
			queue.pending = Optional.empty();
			for (Exchange exchange : List.copyOf(queue.waiting.values())) {
				refuse(queue, exchange, Refusal.QUOTA_UNKNOWN, RelaySettings.RETRY_AFTER);
			}
			return;
		}
		String target = coordinators.get(rank);
		if (rank + 1 < coordinators.size() && isSuspected(target)) {
			requestPermits(queue, rank + 1);
			return;
		}
		List<Exchange> active = new ArrayList<>();
		List<Exchange> starting = new ArrayList<>();
		for (Exchange exchange : queue.waiting.values()) {
			(isActive(queue, exchange) ? active : starting).add(exchange);
		}
		Optional<Quota> quota = quota(queue.team);
		if (quota.isEmpty()) {
			admitAll(queue);
			return;
		}
		queue.pending.ifPresent((pending) -> queue.replaced.put(pending.requestId(),
				new ReplacedRequest(pending.peer(), pending.sentAt())));
		this.lastRequestId++;
		PermitRequest request = new PermitRequest(queue.team, this.lastRequestId, quota.get(), active.size(),
				queue.permits.prefetch(this.state.now), queue.permits.takeExpired(target, this.state.now),
				programs(active), programs(starting));
		queue.pending = Optional
			.of(new PendingRequest(this.lastRequestId, target, rank, this.state.now, active, starting));
		if (target.equals(this.state.name)) {
			applyReply(target, grant(quota.get(), request, coordinators));
			return;
		}
		this.state.emit(new RelayEffect.RequestPermits(target, request));
	}

	private static List<Integer> programs(List<Exchange> exchanges) {
		return exchanges.stream()
			.flatMap((exchange) -> exchange.head().program().stream())
			.map(String::hashCode)
			.toList();
	}

	// The quota or the team was removed while requests were waiting.
	private void admitAll(TeamQueue queue) {
		queue.pending = Optional.empty();
		List<Exchange> all = List.copyOf(queue.waiting.values());
		queue.waiting.clear();
		all.forEach(this::admitted);
	}

	private void admitted(TeamQueue queue, Exchange exchange, long permitExpiry) {
		queue.waiting.remove(exchange.number());
		exchange.permit(permitExpiry);
		admitted(exchange);
	}

	private void admitted(Exchange exchange) {
		exchange.transitionTo(Phase.WAITING_FOR_CHAIN);
		this.admitted.accept(exchange);
	}

	private List<String> coordinators(String team) {
		return this.state.replicas.hasMembers() ? this.state.replicas.replicasOf(team) : List.of(this.state.name);
	}

	private Optional<Quota> quota(String team) {
		return this.state.routeTable.flatMap(RouteTable::teams)
			.flatMap((teams) -> teams.findByName(team))
			.flatMap(Team::quota);
	}

	private boolean isSuspected(String relay) {
		return this.state.now - this.suspectedAt.getOrDefault(relay, RelayState.NEVER) < SUSPICION_TIMEOUT.toMillis();
	}

	private Role role(List<String> coordinators) {
		for (String relay : coordinators) {
			if (relay.equals(this.state.name)) {
				break;
			}
			if (!hasFailed(relay)) {
				return Role.UNCONFIRMED_FAILOVER;
			}
		}
		return coordinators.getFirst().equals(this.state.name) ? Role.PRIMARY : Role.FAILOVER;
	}

	/**
	 * Handles a permit request of another relay.
	 * @param event the request
	 */
	void permitsRequested(RelayEvent.PermitsRequested event) {
		PermitRequest request = event.request();
		if (request.isProbe()) {
			this.state.emit(new RelayEffect.GrantPermits(event.peer(),
					new PermitReply(request.team(), request.requestId(), 0, List.of(), Duration.ZERO)));
			return;
		}
		List<String> coordinators = coordinators(request.team());
		if (!coordinators.contains(this.state.name)) {
			return;
		}
		Quota quota = quota(request.team()).orElse(request.quota());
		this.state.emit(new RelayEffect.GrantPermits(event.peer(), grant(quota, request, coordinators)));
	}

	private PermitReply grant(Quota quota, PermitRequest request, List<String> coordinators) {
		probe(coordinators);
		PermitReply reply = this.buckets.grant(quota, request, role(coordinators), this.state.now);
		if (!request.isCover() && reply.total() > 0) {
			coveringCoordinator(coordinators).ifPresent((peer) -> cover(peer, quota, request.team(), reply.total()));
		}
		return reply;
	}

	// The first preceding coordinator that has not failed. If all have, the first one,
	// since it may only be slow.
	private Optional<String> coveringCoordinator(List<String> coordinators) {
		List<String> preceding = coordinators.subList(0, coordinators.indexOf(this.state.name));
		return preceding.stream()
			.filter((relay) -> !hasFailed(relay))
			.findFirst()
			.or(() -> preceding.stream().findFirst());
	}

	// Requests the permits from the coordinator in whose place they were granted, which
	// would grant them again otherwise.
	private void cover(String peer, Quota quota, String team, int granted) {
		this.lastRequestId++;
		this.covered.put(this.lastRequestId, peer);
		this.state
			.emit(new RelayEffect.RequestPermits(peer, PermitRequest.cover(team, this.lastRequestId, quota, granted)));
	}

	// Checks the liveness of the preceding coordinators before taking over from them. A
	// slow coordinator still answers, so probes don't wait for the replies to earlier
	// ones.
	private void probe(List<String> coordinators) {
		for (String relay : coordinators) {
			if (relay.equals(this.state.name)) {
				return;
			}
			Probe last = this.probes.get(relay);
			if (last == null || this.state.now - last.sentAt() >= RESPONSE_TIMEOUT.toMillis()) {
				boolean expired = last == null || this.state.now - last.sentAt() >= PROBE_EXPIRY.toMillis();
				long unansweredSince = expired ? this.state.now : last.unansweredSince();
				this.probes.put(relay, new Probe(unansweredSince, this.state.now));
				this.lastRequestId++;
				this.state.emit(new RelayEffect.RequestPermits(relay, PermitRequest.probe(this.lastRequestId)));
			}
		}
	}

	private boolean hasFailed(String relay) {
		Probe probe = this.probes.get(relay);
		// A connection is also closed when it has been idle.
		boolean disconnected = this.state.now - this.disconnectedAt.getOrDefault(relay, RelayState.NEVER) < PROBE_EXPIRY
			.toMillis();
		Duration timeout = disconnected ? RESPONSE_TIMEOUT : FAILURE_TIMEOUT;
		return probe != null && this.state.now - probe.unansweredSince() >= timeout.toMillis();
	}

	/**
	 * Handles a reply of a coordinator.
	 * @param event the reply
	 */
	void permitsGranted(RelayEvent.PermitsGranted event) {
		this.suspectedAt.remove(event.peer());
		this.disconnectedAt.remove(event.peer());
		this.probes.remove(event.peer());
		applyReply(event.peer(), event.reply());
	}

	private void applyReply(String peer, PermitReply reply) {
		if (this.covered.remove(reply.requestId(), peer)) {
			this.buckets.cover(reply.team(), reply.total());
			return;
		}
		TeamQueue queue = this.queues.get(reply.team());
		if (queue == null) {
			return;
		}
		Optional<PendingRequest> pending = queue.pending
			.filter((request) -> request.isAnsweredBy(peer, reply.requestId()));
		if (pending.isEmpty()) {
			applyLateReply(queue, peer, reply);
			return;
		}
		PendingRequest answered = pending.get();
		queue.pending = Optional.empty();
		queue.permits.add(peer, reply.permits(), answered.sentAt());
		for (int i = 0; i < Math.min(answered.starting().size(), reply.admissions().size()); i++) {
			resolveNewProgram(queue, answered.starting().get(i), answered, reply.admissions().get(i),
					reply.retryAfter());
		}
		for (Exchange exchange : answered.active()) {
			if (queue.waiting.containsKey(exchange.number())) {
				resolveActiveProgram(queue, exchange, answered, reply.retryAfter());
			}
		}
		requestPermitsForArrivals(queue, answered);
	}

	// A late reply of a coordinator admits the requests that the next one did not.
	private void applyLateReply(TeamQueue queue, String peer, PermitReply reply) {
		ReplacedRequest replaced = queue.replaced.get(reply.requestId());
		if (replaced != null && replaced.peer().equals(peer)) {
			queue.replaced.remove(reply.requestId());
			queue.permits.add(peer, reply.total(), replaced.sentAt());
		}
		for (Exchange exchange : List.copyOf(queue.waiting.values())) {
			OptionalLong expiry = queue.permits.acquire(this.state.now);
			if (expiry.isEmpty()) {
				return;
			}
			exchange.head().program().ifPresent((program) -> queue.permits.markAdmitted(program.hashCode()));
			admitted(queue, exchange, expiry.getAsLong());
		}
	}

	private void resolveNewProgram(TeamQueue queue, Exchange exchange, PendingRequest answered, boolean admitted,
			Duration retryAfter) {
		if (admitted) {
			queue.permits.markAdmitted(exchange.head().program().orElseThrow().hashCode());
		}
		if (!queue.waiting.containsKey(exchange.number())) {
			queue.permits.add(answered.peer(), admitted ? 1 : 0, answered.sentAt());
			return;
		}
		if (admitted) {
			admitted(queue, exchange, Permits.expiry(answered.sentAt()));
			return;
		}
		// The preceding coordinator may have granted a permit that is still on its way.
		if (answered.rank() == 0 || isHeldTooLong(exchange, SLOW_HOLD_DIVISOR)) {
			refuse(queue, exchange, Refusal.QUOTA_SPENT, retryAfter);
		}
	}

	private void resolveActiveProgram(TeamQueue queue, Exchange exchange, PendingRequest answered,
			Duration retryAfter) {
		OptionalLong expiry = queue.permits.acquire(this.state.now);
		if (expiry.isPresent()) {
			admitted(queue, exchange, expiry.getAsLong());
			return;
		}
		if (isHeldTooLong(exchange, (answered.rank() == 0) ? HOLD_TIMEOUT_DIVISOR : SLOW_HOLD_DIVISOR)) {
			refuse(queue, exchange, Refusal.QUOTA_SPENT, retryAfter);
		}
	}

	private boolean isHeldTooLong(Exchange exchange, int divisor) {
		long heldMillis = this.state.now - exchange.request().now();
		long maxHoldMillis = exchange.route().latencyTarget().toMillis() / divisor;
		return heldMillis + RESPONSE_TIMEOUT.toMillis() / 2 > maxHoldMillis;
	}

	// Requests that received no permit retry on their timers. Only those that arrived
	// after the permit request was sent need a new one.
	private void requestPermitsForArrivals(TeamQueue queue, PendingRequest answered) {
		for (Exchange exchange : queue.waiting.values()) {
			if (!answered.active().contains(exchange) && !answered.starting().contains(exchange)) {
				requestPermitsIfIdle(queue);
				return;
			}
		}
	}

	private void refuse(TeamQueue queue, Exchange exchange, Refusal refusal, Duration retryAfter) {
		queue.waiting.remove(exchange.number());
		this.state.report(RelayNotices.quotaRefused(exchange, refusal, coordinators(queue.team).getFirst(),
				queue.waiting.size(), retryAfter, this.state));
		this.completion.refuse(exchange, refusal, Optional.of(retryAfter));
	}

	/**
	 * Handles the permit timer of an exchange.
	 * @param exchange the exchange
	 */
	void timerFired(Exchange exchange) {
		if (exchange.phase() != Phase.WAITING_FOR_PERMIT) {
			return;
		}
		TeamQueue queue = this.queues.get(exchange.team().orElseThrow().name());
		this.state.startTimer(exchange, RESPONSE_TIMEOUT, TimerKind.PERMIT);
		if (queue.pending.isEmpty()) {
			requestPermitsIfIdle(queue);
			return;
		}
		PendingRequest pending = queue.pending.get();
		if (this.state.now - pending.sentAt() >= RESPONSE_TIMEOUT.toMillis()) {
			this.suspectedAt.put(pending.peer(), this.state.now);
			requestPermits(queue, pending.rank() + 1);
		}
	}

	/**
	 * Handles the end of an exchange, and releases its permit if the request was never
	 * sent.
	 * @param exchange the exchange
	 */
	void exchangeEnded(Exchange exchange) {
		TeamQueue queue = exchange.team().map((team) -> this.queues.get(team.name())).orElse(null);
		if (queue == null) {
			return;
		}
		queue.waiting.remove(exchange.number());
		boolean sent = exchange.phase() == Phase.RUNNING || exchange.phase() == Phase.STORING;
		if (!sent) {
			exchange.permitExpiry().ifPresent((expiry) -> queue.permits.release(expiry, this.state.now));
		}
	}

	/**
	 * Handles the loss of the connection to a relay: it has failed unless it answers
	 * soon.
	 * @param peer the relay
	 */
	void peerDisconnected(String peer) {
		if (this.state.replicas.contains(peer)) {
			this.disconnectedAt.put(peer, this.state.now);
		}
	}

	/**
	 * Handles a new connection to a relay, which may be slow but has not failed.
	 * @param peer the relay
	 */
	void peerConnected(String peer) {
		this.disconnectedAt.remove(peer);
	}

	/**
	 * Handles a membership change, which may change the coordinators of teams.
	 */
	void membershipUpdated() {
		this.disconnectedAt.keySet().retainAll(this.state.replicas.addresses());
		this.probes.keySet().retainAll(this.state.replicas.addresses());
		this.buckets.membershipUpdated((team) -> coordinators(team).getFirst().equals(this.state.name), this.state.now);
	}

	/**
	 * Handles a pause of the process, during which other relays may have coordinated its
	 * teams and its permits may have expired.
	 */
	void processResumed() {
		this.buckets.reset(this.state.now);
		this.queues.values().forEach((queue) -> queue.permits.clear());
	}

	/**
	 * Permits and waiting requests of one team. Not thread-safe.
	 */
	private static final class TeamQueue {

		private final String team;

		private final Permits permits = new Permits();

		private final Map<Long, Exchange> waiting = new LinkedHashMap<>();

		private final Map<Long, ReplacedRequest> replaced = new LinkedHashMap<>() {
			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, ReplacedRequest> eldest) {
				return size() > MAX_REPLACED_REQUESTS;
			}
		};

		private Optional<PendingRequest> pending = Optional.empty();

		TeamQueue(String team) {
			this.team = team;
		}

	}

	/**
	 * Immutable permit request without a reply yet.
	 *
	 * @param requestId its id
	 * @param peer the coordinator that it was sent to
	 * @param rank the rank of that coordinator
	 * @param sentAt the time at which it was sent, in milliseconds of a monotonic clock
	 * @param active the exchanges of active programs that it covers
	 * @param starting the exchanges of new programs that it covers
	 */
	private record PendingRequest(long requestId, String peer, int rank, long sentAt, List<Exchange> active,
			List<Exchange> starting) {

		boolean isAnsweredBy(String replying, long id) {
			return this.requestId == id && this.peer.equals(replying);
		}

	}

	/**
	 * Immutable permit request whose coordinator may still reply after another one was
	 * asked.
	 *
	 * @param peer the coordinator that it was sent to
	 * @param sentAt the time at which it was sent, in milliseconds of a monotonic clock
	 */
	private record ReplacedRequest(String peer, long sentAt) {

	}

	/**
	 * Immutable times of the probes of a coordinator that has not replied since the first
	 * of them, in milliseconds of a monotonic clock.
	 *
	 * @param unansweredSince the time of the first one
	 * @param sentAt the time of the last one
	 */
	private record Probe(long unansweredSince, long sentAt) {

	}

}
