package io.lentilslip.core.relay;

/**
 * Who a caller is, as far as the configuration asks for it. Immutable and safe for use by
 * several threads.
 */
public sealed interface CallerIdentity {

	/**
	 * The configuration has no teams: callers are not distinguished, and what they send
	 * as their credentials goes on to upstreams.
	 */
	record Unchecked() implements CallerIdentity {

	}

	/**
	 * A caller without a key, on a route that needs none.
	 */
	record Anonymous() implements CallerIdentity {

	}

	/**
	 * A caller with a key of a team.
	 *
	 * @param team the team
	 */
	record OfTeam(Team team) implements CallerIdentity {

	}

}
