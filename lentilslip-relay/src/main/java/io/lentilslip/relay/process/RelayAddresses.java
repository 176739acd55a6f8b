package io.lentilslip.relay.process;

import java.net.InetSocketAddress;

/**
 * Where a relay listens. Immutable and safe for use by several threads.
 *
 * @param callers the port of callers
 * @param readiness the port at which the platform asks whether it takes requests
 * @param links the port for links of other relays
 */
public record RelayAddresses(InetSocketAddress callers, InetSocketAddress readiness, InetSocketAddress links) {

	/**
	 * Returns what names this relay among the others.
	 * @return the address and port for links
	 */
	public String name() {
		return this.links.getAddress().getHostAddress() + ":" + this.links.getPort();
	}

}
