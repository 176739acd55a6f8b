package io.lentilslip.relay.process;

import io.lentilslip.core.relay.RouteTable;
import io.lentilslip.core.relay.RouteTableError;
import io.lentilslip.core.relay.Upstream;
import io.lentilslip.core.relay.UpstreamRecordError;
import io.vavr.control.Either;

/**
 * Decodes the records that operators and upstreams write to the store. Implementations
 * are stateless and safe for use by several threads.
 */
public interface StoreDecoder {

	/**
	 * Returns the key of the route table.
	 * @return the key
	 */
	String routeTableKey();

	/**
	 * Decodes the route table.
	 * @param value the value of the record
	 * @return the table, or why it is invalid
	 */
	Either<RouteTableError, RouteTable> decodeRouteTable(byte[] value);

	/**
	 * Decodes the record of an upstream. The bytes are untrusted.
	 * @param key the key
	 * @param value the value
	 * @return the upstream, or why the record is invalid
	 */
	Either<UpstreamRecordError, Upstream> decodeUpstream(String key, byte[] value);

}
