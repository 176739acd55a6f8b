package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Immutable configuration of routes, services, limits and teams that is activated as a
 * whole. Safe for use by several threads.
 *
 * @param version the version; increases with each table
 * @param routes the routes
 * @param services the services by name
 * @param limits the limits on requests
 * @param teams the teams; empty if callers are not authenticated
 */
public record RouteTable(long version, List<Route> routes, Map<String, Service> services, Limits limits,
		Optional<Teams> teams) {

	/**
	 * Creates a table.
	 * @param version the version; increases with each table
	 * @param routes the routes
	 * @param services the services by name
	 * @param limits the limits on requests
	 * @param teams the teams; empty if callers are not authenticated
	 */
	public RouteTable {
		routes = List.copyOf(routes);
		services = Map.copyOf(services);
	}

	/**
	 * Finds the route with the longest matching path prefix.
	 * @param host the host, without a port
	 * @param path the path, without a query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> find(String host, String path) {
		Optional<Route> best = Optional.empty();
		for (Route route : this.routes) {
			if (!route.host().equalsIgnoreCase(host) || !path.startsWith(route.prefix())) {
				continue;
			}
			if (best.isEmpty() || best.get().prefix().length() < route.prefix().length()) {
				best = Optional.of(route);
			}
		}
		return best;
	}

	/**
	 * Identifies the caller of a request.
	 * @param route the route of the request; empty if none matches
	 * @param key the digest of its API key; empty if it has no well-formed key
	 * @return the caller, or empty if the route requires a key and the request has none
	 * of a known team
	 */
	Optional<CallerIdentity> identify(Optional<Route> route, Optional<KeyDigest> key) {
		if (this.teams.isEmpty()) {
			return Optional.of(new CallerIdentity.Unchecked());
		}
		Optional<CallerIdentity> holder = key.flatMap(this.teams.get()::findByKey).map(CallerIdentity.OfTeam::new);
		return (holder.isEmpty() && route.filter(Route::anonymousAllowed).isPresent())
				? Optional.of(new CallerIdentity.Anonymous()) : holder;
	}

	/**
	 * Returns the longest timeout of a stream that can be resumed.
	 * @return the timeout, or zero if there is no such stream
	 */
	Duration longestResumableTimeout() {
		return this.routes.stream()
			.filter(Route::resumable)
			.map(Route::timeout)
			.max(Duration::compareTo)
			.orElse(Duration.ZERO);
	}

	/**
	 * Returns the longest retention of turns and of the usage of programs.
	 * @return the retention, or zero if there are no routes
	 */
	Duration longestRetention() {
		return this.routes.stream().map(Route::retention).max(Duration::compareTo).orElse(Duration.ZERO);
	}

	/**
	 * Immutable service that upstreams provide.
	 *
	 * @param name the name
	 * @param maxConnections the maximum number of connections that one upstream accepts
	 * @param engine the capacity of its upstreams if they are model engines
	 */
	public record Service(String name, int maxConnections, Optional<Engine> engine) {

	}

	/**
	 * Immutable capacity of a model engine.
	 *
	 * @param slots the maximum number of concurrent requests
	 * @param cacheTokens the capacity of its KV cache in tokens
	 * @param tokensPerEvent the number of tokens that one stream event counts as
	 */
	public record Engine(int slots, long cacheTokens, int tokensPerEvent) {

	}

	/**
	 * Immutable limits on requests.
	 *
	 * @param maxHeaderBytes the maximum bytes of the request line and headers
	 * @param maxBodyBytes the maximum bytes of a body
	 * @param headerTimeout the time within which the request head has to arrive
	 * @param idleTimeout the time after which an idle connection is closed
	 */
	public record Limits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

		/**
		 * Returns the limits until the first table is read: permissive enough for any
		 * table, but with bounded memory.
		 * @return the limits
		 */
		public static Limits defaults() {
			return new Limits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));
		}

	}

}
