package io.lentilslip.relay.process;

import java.net.InetSocketAddress;

/**
 * The addresses at which a relay listens. Immutable and safe for use by several threads.
 *
 * @param callers the address for callers
 * @param readiness the address for the platform's readiness checks
 * @param links the address for links of other relays
 */
public record RelayAddresses(InetSocketAddress callers, InetSocketAddress readiness, InetSocketAddress links) {

	/**
	 * Returns the name by which other relays know this one.
	 * @return the address and port for links
	 */
	public String name() {
		return this.links.getAddress().getHostAddress() + ":" + this.links.getPort();
	}

}
