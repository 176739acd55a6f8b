package io.lentilslip.wire.link;

import io.lentilslip.core.link.LinkMessage;

/**
 * A side of a link. Entries are clients and sidecars are servers, and each message
 * belongs to one direction. Safe for use by several threads.
 */
enum LinkSide {

	/**
	 * The side that connects: an entry.
	 */
	CLIENT,

	/**
	 * The side that listens: a sidecar.
	 */
	SERVER;

	/**
	 * Returns whether this side may send a message.
	 * @param message the message
	 * @return {@code true} if it may
	 */
	boolean maySend(LinkMessage message) {
		return switch (this) {
			case CLIENT -> message instanceof LinkMessage.ToSidecar;
			case SERVER -> message instanceof LinkMessage.FromSidecar;
		};
	}

	/**
	 * Returns the side at the other end.
	 * @return the other side
	 */
	LinkSide other() {
		return (this == CLIENT) ? SERVER : CLIENT;
	}

}
