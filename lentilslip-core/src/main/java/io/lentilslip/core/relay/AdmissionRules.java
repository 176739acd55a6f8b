package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.lentilslip.core.admission.ProgramAdmission;
import io.lentilslip.core.admission.ProgramAdmission.Decision;
import io.lentilslip.core.admission.ProgramClass;
import io.lentilslip.core.admission.WaitTolerance;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.relay.RelayEvent.Connectivity;

/**
 * Admits programs to services while there is room for them. A program is refused at its
 * first turn only, so that work on a program is not wasted: a turn is never refused for
 * load if this relay, the log or a replica of the program knows of an earlier one. Used
 * by one thread.
 */
final class AdmissionRules {

	/**
	 * The maximum number of programs that are known to have begun here; more than a relay
	 * serves at a time.
	 */
	private static final int MAX_PROGRAMS = 8192;

	/**
	 * Callers wait at most this fraction of the time that they have left before they come
	 * back.
	 */
	private static final int MAX_DELAY_DIVISOR = 3;

	private static final double HOLD_TIME_GAIN = 1.0 / 32;

	private final RelayState state;

	private final ExchangeCompletion completion;

	private final Map<String, ServiceLoad> loads = new HashMap<>();

	private final Map<String, Boolean> begun = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > MAX_PROGRAMS;
		}
	};

	AdmissionRules(RelayState state, ExchangeCompletion completion) {
		this.state = state;
		this.completion = completion;
	}

	/**
	 * Refuses a turn if it is the first one of a program for which there is no room.
	 * Without the log, turns at other relays may not be known here. Then the replicas of
	 * the program are asked first, and {@link #refuseUndecided} decides.
	 * @param exchange the exchange of the turn
	 * @return whether it was refused
	 */
	boolean refuse(Exchange exchange) {
		RequestHead.Turn turn = exchange.head().turn().orElseThrow();
		if (!this.state.admission || hasBegun(exchange, turn)) {
			exchange.markProgramBegun();
			return false;
		}
		ServiceLoad load = load(exchange.route());
		Decision decision = load.admission.decide(turn.program(), programClass(exchange), longestDelay(exchange),
				this.state.now);
		if (!(decision instanceof Decision.Refused refused)) {
			exchange.markProgramBegun();
			return false;
		}
		exchange.refuseForLoad(refused);
		if (!logIsCurrent() && turn.budget().isPresent() && this.state.replicas.hasMembers()) {
			return false;
		}
		refuse(exchange, refused, load);
		return true;
	}

	/**
	 * Refuses a turn whose program turned out to be new.
	 * @param exchange the exchange of the turn
	 * @return whether it was refused
	 */
	boolean refuseUndecided(Exchange exchange) {
		if (exchange.programBegun() || exchange.loadRefusal().isEmpty()) {
			return false;
		}
		refuse(exchange, exchange.loadRefusal().get(), load(exchange.route()));
		return true;
	}

	private boolean hasBegun(Exchange exchange, RequestHead.Turn turn) {
		return turn.previous().isPresent() || exchange.head().resumption().isPresent()
				|| this.begun.containsKey(turn.program()) || this.state.tokens.used(turn.program()) > 0;
	}

	private boolean logIsCurrent() {
		return this.state.connectivity == Connectivity.LOG && this.state.upToDate();
	}

	private void refuse(Exchange exchange, Decision.Refused refused, ServiceLoad load) {
		this.state.report(RelayNotices.loadRefused(exchange, refused, load.admission, this.state.now));
		this.completion.settle(exchange, Optional.empty());
		this.completion.refuse(exchange, Refusal.OVERLOADED, Optional.of(refused.retryAfter()));
	}

	private static ProgramClass programClass(Exchange exchange) {
		String team = exchange.team().map(Team::name).orElse("");
		double weight = exchange.team().flatMap(Team::quota).map((quota) -> quota.ratePerSecond()).orElse(1.0);
		return new ProgramClass(exchange.priority(), team, weight);
	}

	private Duration longestDelay(Exchange exchange) {
		return exchange.remaining(this.state.now).dividedBy(MAX_DELAY_DIVISOR);
	}

	private ServiceLoad load(Route route) {
		String service = mainService(route);
		ServiceLoad load = this.loads.computeIfAbsent(service, this::addLoad);
		if (load.admission.isOutdated(this.state.now)) {
			Duration target = latencyTarget(service).orElse(route.latencyTarget());
			Duration holdTime = load.holdTime().orElse(target);
			Duration wait = this.state.upstreams
				.room(service, holdTime, this.state.connectivity == Connectivity.LOG, this.state.now)
				.expectedWait()
				.plus(perceptibleDelay(target));
			load.admission.update(wait, WaitTolerance.of(target), this.state.now);
			this.state.emit(new RelayEffect.RecordMeasurement(new Measurement.ServiceAdmission(service,
					load.admission.fraction(), load.admission.expectedWait())));
		}
		return load;
	}

	private ServiceLoad addLoad(String service) {
		return new ServiceLoad(new ProgramAdmission(this.state.random.split()));
	}

	/**
	 * Forgets the services that are no longer configured.
	 */
	void routeTableUpdated() {
		this.state.routeTable.ifPresent((table) -> this.loads.keySet().retainAll(table.services().keySet()));
	}

	// A relay whose own event loop is so late that callers notice admits fewer programs;
	// short delays say nothing about the room.
	private Duration perceptibleDelay(Duration latencyTarget) {
		Duration excess = this.state.eventLoopDelay.minus(latencyTarget.dividedBy(2));
		return excess.isNegative() ? Duration.ZERO : excess;
	}

	private static String mainService(Route route) {
		return route.services()
			.stream()
			.max(Comparator.comparingDouble(Route.WeightedService::weight))
			.orElseThrow()
			.service();
	}

	// The most demanding callers of a service determine how long its queues may be.
	private Optional<Duration> latencyTarget(String service) {
		return this.state.routeTable.stream()
			.flatMap((table) -> table.routes().stream())
			.filter((route) -> route.repeatability() == Repeatability.STREAM)
			.filter((route) -> route.services().stream().anyMatch((target) -> target.service().equals(service)))
			.map(Route::latencyTarget)
			.min(Duration::compareTo);
	}

	/**
	 * Records that a turn was sent to an upstream, so that its program has begun.
	 * @param exchange the exchange of the turn
	 */
	void sent(Exchange exchange) {
		exchange.head().turn().ifPresent((turn) -> this.begun.put(turn.program(), true));
	}

	/**
	 * Records the time for which a stream held a place at its upstream.
	 * @param exchange the exchange, at the end of its stream
	 */
	void streamEnded(Exchange exchange) {
		ServiceLoad load = exchange.upstream().map((upstream) -> this.loads.get(upstream.service())).orElse(null);
		if (load != null) {
			exchange.timeSinceFirstEvent(this.state.now).ifPresent(load::addHoldTime);
		}
	}

	/**
	 * Load of one service, as seen by this relay. Not thread-safe.
	 */
	private static final class ServiceLoad {

		private final ProgramAdmission admission;

		private double holdMillis;

		private boolean measured;

		ServiceLoad(ProgramAdmission admission) {
			this.admission = admission;
		}

		void addHoldTime(Duration time) {
			this.holdMillis += this.measured ? (time.toMillis() - this.holdMillis) * HOLD_TIME_GAIN : time.toMillis();
			this.measured = true;
		}

		Optional<Duration> holdTime() {
			return this.measured ? Optional.of(Duration.ofMillis(Math.round(this.holdMillis))) : Optional.empty();
		}

	}

}
