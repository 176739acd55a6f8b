package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;

/**
 * Immutable route: the services and the policy for requests to a host and a path prefix.
 * Safe for use by several threads.
 *
 * @param name the name, as shown to operators
 * @param host the host in the request
 * @param prefix the path prefix; starts and ends with a slash
 * @param repeatability how far requests may be repeated
 * @param timeout the request timeout
 * @param latencyTarget the time within which a response is on time
 * @param maxAttempts the maximum number of attempts for one request
 * @param priority the priority; 0 is the highest
 * @param resumable whether a stream can be resumed at another upstream
 * @param storesTurns whether the relay stores turns, so that requests contain only new
 * input
 * @param retention how long turns and the usage of programs are retained
 * @param affinity whether requests with the same affinity key prefer the same upstream
 * @param anonymousAllowed whether callers without an API key are allowed
 * @param services the services to which requests are distributed
 */
public record Route(String name, String host, String prefix, Repeatability repeatability, Duration timeout,
		Duration latencyTarget, int maxAttempts, int priority, boolean resumable, boolean storesTurns,
		Duration retention, boolean affinity, boolean anonymousAllowed, List<WeightedService> services) {

	/**
	 * The idle timeout of a stream in multiples of the latency target: above the pauses
	 * of engines under full load, below the timeouts of callers.
	 */
	private static final int STREAM_IDLE_TIMEOUT_FACTOR = 5;

	/**
	 * Creates a route.
	 * @param name the name, as shown to operators
	 * @param host the host in the request
	 * @param prefix the path prefix; starts and ends with a slash
	 * @param repeatability how far requests may be repeated
	 * @param timeout the request timeout
	 * @param latencyTarget the time within which a response is on time
	 * @param maxAttempts the maximum number of attempts for one request
	 * @param priority the priority; 0 is the highest
	 * @param resumable whether a stream can be resumed at another upstream
	 * @param storesTurns whether the relay stores turns, so that requests contain only
	 * new input
	 * @param retention how long turns and the usage of programs are retained
	 * @param affinity whether requests with the same affinity key prefer the same
	 * upstream
	 * @param anonymousAllowed whether callers without an API key are allowed
	 * @param services the services to which requests are distributed
	 */
	public Route {
		services = List.copyOf(services);
	}

	/**
	 * Returns whether a request that may have been executed can be retried.
	 * @return whether it can be retried
	 */
	public boolean repeatable() {
		return this.repeatability == Repeatability.IDEMPOTENT
				|| (this.repeatability == Repeatability.STREAM && this.resumable);
	}

	/**
	 * Returns the idle timeout after which a repeatable request moves to another
	 * upstream. A plain response is late once it misses the latency target. A stream has
	 * a longer timeout, because engines are idle during prefill and while a request is
	 * queued.
	 * @return the idle timeout
	 */
	public Duration idleTimeout() {
		return (this.repeatability == Repeatability.STREAM)
				? this.latencyTarget.multipliedBy(STREAM_IDLE_TIMEOUT_FACTOR) : this.latencyTarget;
	}

	/**
	 * Immutable service with its share of the requests of a route.
	 *
	 * @param service the name of the service
	 * @param weight the share, relative to the other weights of the route
	 */
	public record WeightedService(String service, double weight) {

	}

}
