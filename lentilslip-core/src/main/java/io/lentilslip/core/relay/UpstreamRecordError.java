package io.lentilslip.core.relay;

/**
 * Reason why a record in the list of upstreams is invalid. Safe for use by several
 * threads.
 */
public enum UpstreamRecordError {

	/**
	 * The value can't be decoded, or is too large.
	 */
	UNREADABLE,

	/**
	 * A field is missing or has the wrong type.
	 */
	FIELD,

	/**
	 * The address is not an IP address with a port.
	 */
	ADDRESS,

	/**
	 * The state is unknown.
	 */
	STATE,

	/**
	 * The number of slots is out of range.
	 */
	SLOTS,

	/**
	 * The record is of an earlier incarnation than the known one, or has no start time.
	 */
	EARLIER_LIFE

}
