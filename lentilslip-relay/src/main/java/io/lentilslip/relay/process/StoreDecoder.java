package io.lentilslip.relay.process;

import io.lentilslip.core.relay.RouteTable;
import io.lentilslip.core.relay.RouteTableError;
import io.lentilslip.core.relay.Upstream;
import io.lentilslip.core.relay.UpstreamRecordError;
import io.vavr.control.Either;

/**
 * The formats in which operators and upstreams write to the store. Implementations decide
 * nothing, and are safe for use by several threads.
 */
public interface StoreDecoder {

	/**
	 * Returns the key under which operators write their routes.
	 * @return the key
	 */
	String routeTableKey();

	/**
	 * Decodes what operators wrote.
	 * @param value the value
	 * @return the table, or why the value is none that can be in force
	 */
	Either<RouteTableError, RouteTable> decodeRouteTable(byte[] value);

	/**
	 * Decodes what an upstream wrote. Others may write there too, so any bytes may come.
	 * @param key the key
	 * @param value the value
	 * @return the upstream, or why the value names none that can be used
	 */
	Either<UpstreamRecordError, Upstream> decodeUpstream(String key, byte[] value);

}
