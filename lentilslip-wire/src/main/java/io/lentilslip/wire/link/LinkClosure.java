package io.lentilslip.wire.link;

/**
 * Why a connection ended. Safe for use by several threads.
 */
public enum LinkClosure {

	/**
	 * This process closed it.
	 */
	CLOSED_HERE,

	/**
	 * The peer closed it.
	 */
	CLOSED_BY_PEER,

	/**
	 * Nothing arrived for several heartbeat intervals.
	 */
	SILENT,

	/**
	 * More bytes waited to be written than allowed: the peer reads too slowly.
	 */
	OVERLOADED,

	/**
	 * No connection could be made.
	 */
	UNREACHABLE,

	/**
	 * The handshake took too long.
	 */
	HANDSHAKE_TIMEOUT,

	/**
	 * The peer did not prove that it knows the shared secret.
	 */
	WRONG_PROOF,

	/**
	 * The peer sent a frame that does not belong there: one before the handshake was
	 * done, or a message that only the other side may send.
	 */
	UNEXPECTED_FRAME,

	/**
	 * The peer sent a frame larger than allowed.
	 */
	OVERSIZED_FRAME,

	/**
	 * The peer sent a frame that could not be read.
	 */
	MALFORMED_FRAME,

	/**
	 * The server has as many connections as it may have.
	 */
	TOO_MANY_LINKS,

	/**
	 * The connection failed, such as by a reset.
	 */
	FAILED

}
