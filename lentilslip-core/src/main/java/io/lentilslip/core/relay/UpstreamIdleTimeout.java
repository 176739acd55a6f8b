package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import io.lentilslip.core.relay.RelayEvent.TimerKind;

/**
 * How long an upstream may be silent before a request that may run twice leaves it, by
 * what its route says and by what answers take at this relay. Bounded: the routes that
 * were longest without an answer are forgotten. Used by one thread.
 */
final class UpstreamIdleTimeout {

	/**
	 * By how much a look may be late. A timer that is later shows that this relay did not
	 * run: the answer may lie unread in its socket, and sent again the request would add
	 * to the load that made the relay late. The next look comes after the relay has had
	 * as long to read as it was late; once for each attempt, since a relay may always be
	 * late.
	 */
	private static final long ON_TIME_MS = 20;

	/**
	 * By how many times the patience of its route an upstream is waited for at most.
	 */
	private static final int MOST = 4;

	private static final int ROUTES = 4096;

	private final RelayState state;

	private final Map<String, Waits> waits = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Waits> eldest) {
			return size() > ROUTES;
		}
	};

	UpstreamIdleTimeout(RelayState state) {
		this.state = state;
	}

	/**
	 * Takes that an upstream gave its first sign after a request was sent to it.
	 * @param exchange the exchange, before it takes the sign
	 */
	void recordFirstResponse(Exchange exchange) {
		this.waits.computeIfAbsent(exchange.route().name(), (name) -> new Waits())
			.took(this.state.now - exchange.lastActivityAt());
	}

	/**
	 * Looks whether an upstream has been silent for too long, and looks again later if it
	 * has not.
	 * @param exchange the exchange
	 * @return whether it has
	 */
	boolean hasExpired(Exchange exchange) {
		long patience = patience(exchange.route());
		long left = exchange.lastActivityAt() + patience - this.state.now;
		long late = this.state.now - exchange.nextIdleCheck();
		if (left > 0) {
			lookAgain(exchange, left);
			return false;
		}
		if (late > ON_TIME_MS && exchange.grantGrace()) {
			lookAgain(exchange, Math.min(late, patience));
			return false;
		}
		return true;
	}

	/**
	 * Looks at the upstream of an exchange when its patience is over.
	 * @param exchange the exchange
	 */
	void start(Exchange exchange) {
		lookAgain(exchange, patience(exchange.route()));
	}

	private void lookAgain(Exchange exchange, long delay) {
		exchange.nextIdleCheck(this.state.now + delay);
		this.state.startTimer(exchange, Duration.ofMillis(delay), TimerKind.UPSTREAM_IDLE);
	}

	private long patience(Route route) {
		long least = route.idleTimeout().toMillis();
		Waits known = this.waits.get(route.name());
		return (known != null) ? Math.clamp(known.longest(), least, MOST * least) : least;
	}

	/**
	 * What answers of one route took lately, in the middle and around it: the estimate by
	 * which TCP decides that a segment is lost (RFC 6298). Used by one thread.
	 */
	private static final class Waits {

		private static final double MIDDLE_GAIN = 1.0 / 8;

		private static final double SPREAD_GAIN = 1.0 / 4;

		private static final int SPREADS = 4;

		/**
		 * The answers after which the estimate counts: the first ones say little of the
		 * spread.
		 */
		private static final int ENOUGH = 8;

		private int answers;

		private double middle;

		private double spread;

		void took(long milliseconds) {
			this.answers++;
			if (this.answers == 1) {
				this.middle = milliseconds;
				this.spread = milliseconds / 2.0;
				return;
			}
			this.spread += SPREAD_GAIN * (Math.abs(milliseconds - this.middle) - this.spread);
			this.middle += MIDDLE_GAIN * (milliseconds - this.middle);
		}

		long longest() {
			return (this.answers < ENOUGH) ? 0 : Math.round(this.middle + SPREADS * this.spread);
		}

	}

}
