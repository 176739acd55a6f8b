package io.lentilslip.core.relay;

/**
 * Why a record of the list of upstreams names none that can be used. Safe for use by
 * several threads.
 */
public enum UpstreamRecordError {

	/**
	 * The bytes are no value, or too many.
	 */
	UNREADABLE,

	/**
	 * A field is missing or of another type.
	 */
	FIELD,

	/**
	 * The address names no IP number and port.
	 */
	ADDRESS,

	/**
	 * The state is not one that is known.
	 */
	STATE,

	/**
	 * The number of places is none that an upstream can have.
	 */
	SLOTS,

	/**
	 * Its life began before the one that is known, or it does not say when.
	 */
	EARLIER_LIFE

}
