package io.lentilslip.core.relay;

/**
 * Reason why a route table is invalid. The previous table stays active as a whole. Safe
 * for use by several threads.
 */
public enum RouteTableError {

	/**
	 * The value can't be decoded.
	 */
	UNREADABLE,

	/**
	 * A team has no name, or a name that is invalid in a header.
	 */
	TEAM_NAME,

	/**
	 * Two teams have the same name.
	 */
	TEAM_TWICE,

	/**
	 * The keys of a team are not a list of strings.
	 */
	TEAM_KEYS,

	/**
	 * Two teams have the same key.
	 */
	KEY_SHARED,

	/**
	 * The rate, burst or priority of a team is not a number, or is negative.
	 */
	TEAM_NUMBER,

	/**
	 * The number of teams exceeds the limit.
	 */
	TOO_MANY_TEAMS

}
