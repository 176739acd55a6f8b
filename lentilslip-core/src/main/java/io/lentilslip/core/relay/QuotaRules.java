package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;
import io.lentilslip.core.quota.Permits;
import io.lentilslip.core.quota.Quota;
import io.lentilslip.core.quota.TeamBuckets;
import io.lentilslip.core.quota.TeamBuckets.Standing;
import io.lentilslip.core.relay.Exchange.Phase;
import io.lentilslip.core.relay.RelayEvent.TimerKind;

/**
 * Whether a team's quota holds a request. One relay counts for each team, the first of
 * three that rendezvous hashing gives it; the others ask it for permits, many at once
 * where many wait, and the next of the three where it does not answer. A request that
 * finds a permit at hand waits for nothing. A program that is under way is not sent away
 * at once when the quota is spent: it waits for the next permits as long as its caller
 * loses nothing by that. Used by one thread.
 */
final class QuotaRules {

	/**
	 * How long a relay that counts for a team may take to answer before the next one is
	 * asked.
	 */
	private static final Duration ANSWER_WAIT = Duration.ofMillis(60);

	/**
	 * The part of a route's target for which a request of a program under way waits for
	 * permits before its caller is asked to come back.
	 */
	private static final int HOLD_PART = 4;

	/**
	 * How long a relay that did not answer counts as gone.
	 */
	private static final Duration SUSPECTED = Duration.ofSeconds(2);

	/**
	 * The most teams whose permits are remembered.
	 */
	private static final int TEAMS = 4096;

	private final RelayState state;

	private final ExchangeCompletion ends;

	private final Consumer<Exchange> admitted;

	private final TeamBuckets buckets;

	private final Map<String, TeamQueue> queues = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, TeamQueue> eldest) {
			return size() > TEAMS && eldest.getValue().waiting.isEmpty();
		}
	};

	private final Map<String, Long> suspects = new HashMap<>();

	private final Map<String, Long> probes = new HashMap<>();

	private long lastNumber;

	/**
	 * Creates rules that count nothing yet.
	 * @param state what the relay knows
	 * @param ends how exchanges end
	 * @param admitted takes each exchange that had to wait and is admitted
	 */
	QuotaRules(RelayState state, ExchangeCompletion ends, Consumer<Exchange> admitted) {
		this.state = state;
		this.ends = ends;
		this.admitted = admitted;
		this.buckets = new TeamBuckets(state.quotaTolerance);
	}

	/**
	 * Admits a request if a permit of its team is at hand, and asks for one otherwise.
	 * @param exchange the exchange
	 * @return whether it is admitted now; otherwise it is later, or refused
	 */
	boolean admit(Exchange exchange) {
		Optional<Team> team = exchange.team().filter((known) -> known.quota().isPresent());
		if (team.isEmpty()) {
			return true;
		}
		if (!this.state.membershipKnown()) {
			this.ends.refuse(exchange, Refusal.NOT_READY, Optional.of(RelaySettings.RETRY_AFTER_LOG_READ));
			return false;
		}
		TeamQueue queue = this.queues.computeIfAbsent(team.get().name(), TeamQueue::new);
		// Permits are granted ahead of need only while the quota has room for programs
		// that begin.
		if (queue.permits.spend(this.state.now)) {
			exchange.head().program().ifPresent((program) -> queue.permits.admit(program.hashCode()));
			exchange.markPermitted();
			return true;
		}
		exchange.transitionTo(Phase.WAITING_FOR_PERMIT);
		queue.waiting.put(exchange.number(), exchange);
		this.state.startTimer(exchange, ANSWER_WAIT, TimerKind.PERMIT);
		askIfFree(queue);
		return false;
	}

	private static boolean underWay(TeamQueue queue, Exchange exchange) {
		Optional<String> program = exchange.head().program();
		return program.isEmpty() || queue.permits.underWay(program.get().hashCode());
	}

	private void askIfFree(TeamQueue queue) {
		if (queue.pending.isEmpty() && !queue.waiting.isEmpty()) {
			ask(queue, 0);
		}
	}

	private void ask(TeamQueue queue, int rank) {
		List<String> counting = counting(queue.team);
		if (rank >= counting.size()) {
			queue.pending = Optional.empty();
			for (Exchange exchange : List.copyOf(queue.waiting.values())) {
				refuse(queue, exchange, Refusal.QUOTA_UNKNOWN, RelaySettings.RETRY_AFTER);
			}
			return;
		}
		String target = counting.get(rank);
		if (rank + 1 < counting.size() && suspected(target)) {
			ask(queue, rank + 1);
			return;
		}
		List<Exchange> going = new ArrayList<>();
		List<Exchange> beginning = new ArrayList<>();
		for (Exchange exchange : queue.waiting.values()) {
			(underWay(queue, exchange) ? going : beginning).add(exchange);
		}
		Optional<Quota> quota = quota(queue.team);
		if (quota.isEmpty()) {
			unlimited(queue);
			return;
		}
		this.lastNumber++;
		PermitRequest ask = new PermitRequest(queue.team, this.lastNumber, quota.get(), going.size(),
				queue.permits.ahead(this.state.now), queue.permits.returned(target, this.state.now), programs(going),
				programs(beginning));
		queue.pending = Optional.of(new Pending(this.lastNumber, target, rank, this.state.now, going, beginning));
		if (target.equals(this.state.name)) {
			probe(counting);
			replied(target, this.buckets.grant(quota.get(), ask, standing(counting), this.state.now));
			return;
		}
		this.state.emit(new RelayEffect.RequestPermits(target, ask));
	}

	private static List<Integer> programs(List<Exchange> exchanges) {
		return exchanges.stream()
			.flatMap((exchange) -> exchange.head().program().stream())
			.map(String::hashCode)
			.toList();
	}

	// The quota was lifted, or the team removed, while its requests waited.
	private void unlimited(TeamQueue queue) {
		queue.pending = Optional.empty();
		List<Exchange> all = List.copyOf(queue.waiting.values());
		queue.waiting.clear();
		all.forEach(this::admitted);
	}

	private void admitted(Exchange exchange) {
		exchange.markPermitted();
		exchange.transitionTo(Phase.WAITING_FOR_CHAIN);
		this.admitted.accept(exchange);
	}

	private List<String> counting(String team) {
		return this.state.replicas.hasMembers() ? this.state.replicas.replicasOf(team) : List.of(this.state.name);
	}

	private Optional<Quota> quota(String team) {
		return this.state.routeTable.flatMap(RouteTable::teams)
			.flatMap((teams) -> teams.findByName(team))
			.flatMap(Team::quota);
	}

	private boolean suspected(String relay) {
		return this.state.now - this.suspects.getOrDefault(relay, RelayState.NEVER) < SUSPECTED.toMillis();
	}

	private Standing standing(List<String> counting) {
		for (String relay : counting) {
			if (relay.equals(this.state.name)) {
				break;
			}
			if (!suspected(relay)) {
				return Standing.DOUBTFUL;
			}
		}
		return counting.getFirst().equals(this.state.name) ? Standing.FIRST : Standing.STAND_IN;
	}

	/**
	 * Takes another relay's request for permits.
	 * @param permitsRequested the request
	 */
	void permitsRequested(RelayEvent.PermitsRequested asked) {
		PermitRequest ask = asked.request();
		if (ask.isProbe()) {
			this.state.emit(new RelayEffect.GrantPermits(asked.peer(),
					new PermitReply(ask.team(), ask.requestId(), 0, List.of(), Duration.ZERO)));
			return;
		}
		List<String> counting = counting(ask.team());
		if (!counting.contains(this.state.name)) {
			return;
		}
		probe(counting);
		Quota quota = quota(ask.team()).orElse(ask.quota());
		PermitReply reply = this.buckets.grant(quota, ask, standing(counting), this.state.now);
		this.state.emit(new RelayEffect.GrantPermits(asked.peer(), reply));
	}

	// A relay that is asked in place of another one looks for itself whether that one
	// answers.
	private void probe(List<String> counting) {
		for (String relay : counting) {
			if (relay.equals(this.state.name)) {
				return;
			}
			Long since = this.probes.get(relay);
			if (since == null) {
				this.probes.put(relay, this.state.now);
				this.lastNumber++;
				this.state.emit(new RelayEffect.RequestPermits(relay, PermitRequest.probe(this.lastNumber)));
			}
			else if (this.state.now - since > ANSWER_WAIT.toMillis()) {
				this.probes.remove(relay);
				this.suspects.put(relay, this.state.now);
			}
		}
	}

	/**
	 * Takes the answer of the relay that counts for a team.
	 * @param permitsGranted the answer
	 */
	void permitsGranted(RelayEvent.PermitsGranted granted) {
		this.suspects.remove(granted.peer());
		this.probes.remove(granted.peer());
		replied(granted.peer(), granted.reply());
	}

	private void replied(String peer, PermitReply reply) {
		TeamQueue queue = this.queues.get(reply.team());
		if (queue == null) {
			return;
		}
		if (queue.pending.isEmpty() || queue.pending.get().number() != reply.requestId()) {
			queue.permits.add(peer, reply.total(), this.state.now);
			return;
		}
		Pending answered = queue.pending.get();
		queue.pending = Optional.empty();
		queue.permits.add(peer, reply.permits(), this.state.now);
		for (int i = 0; i < Math.min(answered.beginning().size(), reply.admissions().size()); i++) {
			began(queue, answered.beginning().get(i), peer, reply.admissions().get(i), reply.retryAfter());
		}
		for (Exchange exchange : answered.going()) {
			if (queue.waiting.containsKey(exchange.number())) {
				wentOn(queue, exchange, reply.retryAfter());
			}
		}
		askIfWaitingAnew(queue, answered);
	}

	private void began(TeamQueue queue, Exchange exchange, String peer, boolean held, Duration wait) {
		if (held) {
			queue.permits.admit(exchange.head().program().orElseThrow().hashCode());
		}
		if (!queue.waiting.containsKey(exchange.number())) {
			queue.permits.add(peer, held ? 1 : 0, this.state.now);
			return;
		}
		if (!held) {
			refuse(queue, exchange, Refusal.QUOTA_SPENT, wait);
			return;
		}
		queue.waiting.remove(exchange.number());
		admitted(exchange);
	}

	private void wentOn(TeamQueue queue, Exchange exchange, Duration wait) {
		if (queue.permits.spend(this.state.now)) {
			queue.waiting.remove(exchange.number());
			admitted(exchange);
			return;
		}
		long held = this.state.now - exchange.request().now();
		long most = exchange.route().latencyTarget().toMillis() / HOLD_PART;
		if (held + ANSWER_WAIT.toMillis() / 2 > most) {
			refuse(queue, exchange, Refusal.QUOTA_SPENT, wait);
		}
	}

	// Requests that the answer was too short for ask again at their reminders; those that
	// came meanwhile have not asked yet.
	private void askIfWaitingAnew(TeamQueue queue, Pending answered) {
		for (Exchange exchange : queue.waiting.values()) {
			if (!answered.going().contains(exchange) && !answered.beginning().contains(exchange)) {
				askIfFree(queue);
				return;
			}
		}
	}

	private void refuse(TeamQueue queue, Exchange exchange, Refusal refusal, Duration wait) {
		queue.waiting.remove(exchange.number());
		this.state.report(RelayNotices.quotaRefused(exchange, refusal, counting(queue.team).getFirst(),
				queue.waiting.size(), wait, this.state));
		this.ends.refuse(exchange, refusal, Optional.of(wait));
	}

	/**
	 * Looks at a request that has waited for a permit.
	 * @param exchange the exchange
	 */
	void timerFired(Exchange exchange) {
		if (exchange.phase() != Phase.WAITING_FOR_PERMIT) {
			return;
		}
		TeamQueue queue = this.queues.get(exchange.team().orElseThrow().name());
		this.state.startTimer(exchange, ANSWER_WAIT, TimerKind.PERMIT);
		if (queue.pending.isEmpty()) {
			askIfFree(queue);
			return;
		}
		Pending pending = queue.pending.get();
		if (this.state.now - pending.sentAt() >= ANSWER_WAIT.toMillis()) {
			this.suspects.put(pending.peer(), this.state.now);
			ask(queue, pending.rank() + 1);
		}
	}

	/**
	 * Takes that an exchange has ended: its permit is free again if nothing was run with
	 * it.
	 * @param exchange the exchange
	 */
	void exchangeEnded(Exchange exchange) {
		TeamQueue queue = exchange.team().map((team) -> this.queues.get(team.name())).orElse(null);
		if (queue == null) {
			return;
		}
		queue.waiting.remove(exchange.number());
		boolean sent = exchange.phase() == Phase.RUNNING || exchange.phase() == Phase.STORING;
		if (exchange.permitted() && !sent) {
			queue.permits.putBack(this.state.now);
		}
	}

	/**
	 * Takes that the relays have changed, and with them who counts for which team.
	 */
	void membershipUpdated() {
		this.buckets.relaysChanged(this.state.now);
	}

	/**
	 * Takes that this relay did not run for a while: others have counted for its teams,
	 * and its permits have ended.
	 */
	void processResumed() {
		this.buckets.forget(this.state.now);
		this.queues.values().forEach((queue) -> queue.permits.clear());
	}

	/**
	 * What this relay has and waits for of one team. Used by one thread.
	 */
	private static final class TeamQueue {

		private final String team;

		private final Permits permits = new Permits();

		private final Map<Long, Exchange> waiting = new LinkedHashMap<>();

		private Optional<Pending> pending = Optional.empty();

		TeamQueue(String team) {
			this.team = team;
		}

	}

	/**
	 * A request for permits that is not answered yet. Immutable.
	 *
	 * @param number its number
	 * @param peer the relay that is asked
	 * @param rank its rank among those that may count for the team
	 * @param sentAt when it was sent, in milliseconds of a steady clock
	 * @param going the exchanges that it is for whose programs are under way
	 * @param beginning the exchanges that it is for whose programs begin
	 */
	private record Pending(long number, String peer, int rank, long sentAt, List<Exchange> going,
			List<Exchange> beginning) {

	}

}
