package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;

/**
 * Where requests for a host and a path prefix go, and what may be done with them.
 * Immutable and safe for use by several threads.
 *
 * @param name the name, as operators see it
 * @param host the host that callers name
 * @param prefix the prefix of the path; begins and ends with a slash
 * @param repeatability what may be repeated
 * @param timeout the longest time that a request is kept waiting
 * @param latencyTarget the time within which an answer is on time
 * @param maxAttempts the most upstreams that one request is sent to
 * @param priority the rank; 0 is the highest
 * @param resumable whether a stream may go on at another upstream
 * @param storesTurns whether turns carry new input only and the relay holds the rest
 * @param retention how long turns are kept, and programs remembered
 * @param affinity whether an upstream that handled an object lately handles it faster
 * @param anonymousAllowed whether callers need no API key
 * @param services the services that share the route's requests
 */
public record Route(String name, String host, String prefix, Repeatability repeatability, Duration timeout,
		Duration latencyTarget, int maxAttempts, int priority, boolean resumable, boolean storesTurns,
		Duration retention, boolean affinity, boolean anonymousAllowed, List<WeightedService> services) {

	/**
	 * By how many targets a stream may be silent: well above what engines show under full
	 * load, well below the seconds after which callers give up.
	 */
	private static final int STREAM_PATIENCE = 5;

	/**
	 * Creates a route.
	 * @param name the name, as operators see it
	 * @param host the host that callers name
	 * @param prefix the prefix of the path; begins and ends with a slash
	 * @param repeatability what may be repeated
	 * @param timeout the longest time that a request is kept waiting
	 * @param latencyTarget the time within which an answer is on time
	 * @param maxAttempts the most upstreams that one request is sent to
	 * @param priority the rank; 0 is the highest
	 * @param resumable whether a stream may go on at another upstream
	 * @param storesTurns whether turns carry new input only and the relay holds the rest
	 * @param retention how long turns are kept, and programs remembered
	 * @param affinity whether an upstream that handled an object lately handles it faster
	 * @param anonymousAllowed whether callers need no API key
	 * @param services the services that share the route's requests
	 */
	public Route {
		services = List.copyOf(services);
	}

	/**
	 * Returns whether a request that may have run can be sent again.
	 * @return whether it can
	 */
	public boolean repeatable() {
		return this.repeatability == Repeatability.IDEMPOTENT
				|| (this.repeatability == Repeatability.STREAM && this.resumable);
	}

	/**
	 * Returns how long an upstream may be silent before a request that may run twice goes
	 * to another one. A plain answer that is not there at its target is late already. An
	 * engine is silent while it reads a long prompt or waits for a place.
	 * @return the time
	 */
	public Duration idleTimeout() {
		return (this.repeatability == Repeatability.STREAM) ? this.latencyTarget.multipliedBy(STREAM_PATIENCE)
				: this.latencyTarget;
	}

	/**
	 * A service with its part of a route's requests. Immutable.
	 *
	 * @param service the name of the service
	 * @param weight the part, relative to the other weights of the route
	 */
	public record WeightedService(String service, double weight) {

	}

}
