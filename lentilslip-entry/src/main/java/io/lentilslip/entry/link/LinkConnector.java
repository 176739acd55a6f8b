package io.lentilslip.entry.link;

import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.wire.link.LinkListener;

/**
 * A way to open links. Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface LinkConnector {

	/**
	 * Begins to open a link. Returns at once.
	 * @param address the address of the peer
	 * @param listener what learns whether the link opened or was refused, and all that
	 * follows
	 */
	void connect(Endpoint address, LinkListener listener);

}
