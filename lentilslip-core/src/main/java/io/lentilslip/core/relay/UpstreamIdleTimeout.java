package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import io.lentilslip.core.relay.RelayEvent.TimerKind;

/**
 * Adaptive idle timeout after which a repeatable request moves to another upstream.
 * Derived from the timeout of the route and the response latencies observed by this
 * relay. Bounded: the least recently used route is evicted first. Not thread-safe.
 */
final class UpstreamIdleTimeout {

	/**
	 * The delay of the timer or of the event loop above which this relay is assumed to
	 * have been paused. The response may then be unread in the socket, and a retry would
	 * add load to an overloaded relay. The check is postponed by the delay, at most once
	 * per attempt, since the timers of a relay may always be late.
	 */
	private static final long MAX_DELAY_MS = 20;

	/**
	 * The maximum timeout in multiples of the idle timeout of the route.
	 */
	private static final int MAX_TIMEOUT_FACTOR = 4;

	private static final int MAX_ROUTES = 4096;

	private final RelayState state;

	private final Map<String, LatencyEstimator> latencies = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, LatencyEstimator> eldest) {
			return size() > MAX_ROUTES;
		}
	};

	UpstreamIdleTimeout(RelayState state) {
		this.state = state;
	}

	/**
	 * Records the latency of the first response data for a request.
	 * @param exchange the exchange, before the response data is applied to it
	 */
	void recordFirstResponse(Exchange exchange) {
		this.latencies.computeIfAbsent(exchange.route().name(), (name) -> new LatencyEstimator())
			.addSample(this.state.now - exchange.lastActivityAt());
	}

	/**
	 * Checks whether the idle timeout of an exchange has expired, and schedules another
	 * check if it has not.
	 * @param exchange the exchange
	 * @return whether it has expired
	 */
	boolean hasExpired(Exchange exchange) {
		long timeout = timeoutMillis(exchange.route());
		long remaining = exchange.lastActivityAt() + timeout - this.state.now;
		long timerDelay = this.state.now - exchange.nextIdleCheck();
		long delay = Math.max(timerDelay, this.state.eventLoopDelay.toMillis());
		if (remaining > 0) {
			schedule(exchange, remaining);
			return false;
		}
		if (delay > MAX_DELAY_MS && exchange.grantGrace()) {
			schedule(exchange, Math.min(delay, timeout));
			return false;
		}
		return true;
	}

	/**
	 * Starts the idle timeout of an exchange.
	 * @param exchange the exchange
	 */
	void start(Exchange exchange) {
		schedule(exchange, timeoutMillis(exchange.route()));
	}

	private void schedule(Exchange exchange, long delay) {
		exchange.nextIdleCheck(this.state.now + delay);
		this.state.startTimer(exchange, Duration.ofMillis(delay), TimerKind.UPSTREAM_IDLE);
	}

	private long timeoutMillis(Route route) {
		long min = route.idleTimeout().toMillis();
		LatencyEstimator latency = this.latencies.get(route.name());
		return (latency != null) ? Math.clamp(latency.upperBound(), min, MAX_TIMEOUT_FACTOR * min) : min;
	}

	/**
	 * Smoothed mean and deviation of the response latency of one route, as in TCP's
	 * retransmission timeout (RFC 6298). Not thread-safe.
	 */
	private static final class LatencyEstimator {

		private static final double MEAN_GAIN = 1.0 / 8;

		private static final double DEVIATION_GAIN = 1.0 / 4;

		private static final int DEVIATION_FACTOR = 4;

		/**
		 * The number of samples before the estimate is used, since the deviation is
		 * unreliable before that.
		 */
		private static final int MIN_SAMPLES = 8;

		private int samples;

		private double mean;

		private double deviation;

		void addSample(long milliseconds) {
			this.samples++;
			if (this.samples == 1) {
				this.mean = milliseconds;
				this.deviation = milliseconds / 2.0;
				return;
			}
			this.deviation += DEVIATION_GAIN * (Math.abs(milliseconds - this.mean) - this.deviation);
			this.mean += MEAN_GAIN * (milliseconds - this.mean);
		}

		long upperBound() {
			return (this.samples < MIN_SAMPLES) ? 0 : Math.round(this.mean + DEVIATION_FACTOR * this.deviation);
		}

	}

}
