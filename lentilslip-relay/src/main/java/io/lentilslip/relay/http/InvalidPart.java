package io.lentilslip.relay.http;

/**
 * A part of a response that is not valid. Safe for use by several threads.
 */
public enum InvalidPart {

	/**
	 * The line with the version and the status.
	 */
	STATUS_LINE,

	/**
	 * A line with a field.
	 */
	FIELD,

	/**
	 * The end of a line.
	 */
	LINE_END,

	/**
	 * The size of the head.
	 */
	HEAD_SIZE,

	/**
	 * The fields that frame the body.
	 */
	FRAMING

}
