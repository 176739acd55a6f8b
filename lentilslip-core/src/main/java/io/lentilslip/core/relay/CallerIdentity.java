package io.lentilslip.core.relay;

/**
 * Immutable view of a caller's identity, as far as the route table requires it. Safe for
 * use by several threads.
 */
public sealed interface CallerIdentity {

	/**
	 * The route table defines no teams: callers are not authenticated, and their
	 * credentials are passed on to upstreams.
	 */
	record Unchecked() implements CallerIdentity {

	}

	/**
	 * A caller without a valid API key, on a route that allows anonymous requests.
	 */
	record Anonymous() implements CallerIdentity {

	}

	/**
	 * A caller that has authenticated with the API key of a team.
	 *
	 * @param team the team
	 */
	record OfTeam(Team team) implements CallerIdentity {

	}

}
