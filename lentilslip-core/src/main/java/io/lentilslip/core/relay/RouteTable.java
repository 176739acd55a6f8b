package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The routes, services and limits that are in force together. Immutable and safe for use
 * by several threads.
 *
 * @param version the version; of two tables the one with the higher version is newer
 * @param routes the routes
 * @param services the services by name
 * @param limits what callers may send
 * @param teams the teams; empty if callers are not distinguished
 */
public record RouteTable(long version, List<Route> routes, Map<String, Service> services, Limits limits,
		Optional<Teams> teams) {

	/**
	 * Creates a table.
	 * @param version the version; of two tables the one with the higher version is newer
	 * @param routes the routes
	 * @param services the services by name
	 * @param limits what callers may send
	 * @param teams the teams; empty if callers are not distinguished
	 */
	public RouteTable {
		routes = List.copyOf(routes);
		services = Map.copyOf(services);
	}

	/**
	 * Finds the route with the longest prefix that begins the path.
	 * @param host the host, without a port
	 * @param path the path, without a query
	 * @return the route, or empty if none fits
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
	 * Finds out who sends a request.
	 * @param route the route of the request; empty if none fits
	 * @param key the digest of its API key; empty if it has none or none that can be read
	 * @return the caller, or empty if the request needs a key and has none that a team
	 * holds
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
	 * A service that upstreams offer. Immutable.
	 *
	 * @param name the name
	 * @param connections the most connections that one upstream takes from all callers
	 * @param engine what its upstreams can do if they are model engines
	 */
	public record Service(String name, int maxConnections, Optional<Engine> engine) {

	}

	/**
	 * What a model engine can do. Immutable.
	 *
	 * @param slots the requests that run at once
	 * @param memory the tokens that its memory holds
	 * @param tokensPerEvent the tokens that one event of a stream counts as
	 */
	public record Engine(int slots, long cacheTokens, int tokensPerEvent) {

	}

	/**
	 * What callers may send. Immutable.
	 *
	 * @param headerBytes the most bytes of a request's line and headers
	 * @param bodyBytes the most bytes of a body
	 * @param headerTimeout the longest time that a head may take to arrive
	 * @param idleTimeout the longest time that a connection may stay idle
	 */
	public record Limits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

		/**
		 * What holds until the first table is known: generous enough to refuse nothing
		 * that a table would allow, small enough to bound memory.
		 * @return the limits
		 */
		public static Limits defaults() {
			return new Limits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));
		}

	}

}
