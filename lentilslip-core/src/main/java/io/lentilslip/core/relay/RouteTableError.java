package io.lentilslip.core.relay;

/**
 * Why a table that operators wrote can't be in force. The table before stays in force as
 * a whole. Safe for use by several threads.
 */
public enum RouteTableError {

	/**
	 * The bytes are no table.
	 */
	UNREADABLE,

	/**
	 * A team has no name, or one that no header can carry.
	 */
	TEAM_NAME,

	/**
	 * Two teams have the same name.
	 */
	TEAM_TWICE,

	/**
	 * A team's keys are no list of texts.
	 */
	TEAM_KEYS,

	/**
	 * Two teams hold the same key.
	 */
	KEY_SHARED,

	/**
	 * A team's rate, burst or priority is no number, or a negative one.
	 */
	TEAM_NUMBER,

	/**
	 * There are more teams than a relay takes.
	 */
	TOO_MANY_TEAMS

}
