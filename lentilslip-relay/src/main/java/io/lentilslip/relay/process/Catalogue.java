package io.lentilslip.relay.process;

import java.util.Optional;

import io.lentilslip.core.relay.RouteTable;
import io.lentilslip.core.relay.Upstream;

/**
 * The formats in which operators and upstreams write to the store. Implementations decide
 * nothing, and are safe for use by several threads.
 */
public interface Catalogue {

	/**
	 * Returns the key under which operators write their routes.
	 * @return the key
	 */
	String routesKey();

	/**
	 * Decodes what operators wrote.
	 * @param value the value
	 * @return the table, or empty if the value is none
	 */
	Optional<RouteTable> table(byte[] value);

	/**
	 * Decodes what an upstream wrote.
	 * @param key the key
	 * @param value the value
	 * @return the upstream, or empty if the value is none
	 */
	Optional<Upstream> upstream(String key, byte[] value);

}
