package io.lentilslip.entry.http;

import java.time.Duration;
import java.util.Optional;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.configuration.Limits.RequestLimits;

/**
 * Bounds of what one port holds in memory and for how long. Immutable and safe for use by
 * several threads.
 *
 * @param bodyBytes the most bytes of one request's body
 * @param headerBytes the most bytes of one request's headers
 * @param bodyBytesInAll the most bytes of all bodies being received or worked on
 * @param connections the most open connections
 * @param openCalls the most calls being worked on
 * @param unreadBytes the most bytes of a stream that its caller has not read
 * @param receiveTime the longest a request may take to arrive
 * @param stallTime the longest a caller may leave bytes unread
 * @param idleTime the longest a connection may stay open without a request
 */
public record HttpLimits(int bodyBytes, int headerBytes, long bodyBytesInAll, int connections, int openCalls,
		int unreadBytes, Duration receiveTime, Duration stallTime, Duration idleTime) {

	/**
	 * The limits of a process that sets none.
	 */
	public static final HttpLimits DEFAULT = new HttpLimits(8 << 20, 16 << 10, 128L << 20, 8192, 4096, 1 << 20,
			Duration.ofSeconds(30), Duration.ofSeconds(30), Duration.ofSeconds(75));

	/**
	 * Returns the limits of a process with a configuration.
	 * @param configuration the configuration in force, if there is one
	 * @return the limits for new connections and calls
	 */
	public static HttpLimits in(Optional<Configuration> configuration) {
		return configuration.map(Configuration::limits).map(Limits::requests).map(DEFAULT::with).orElse(DEFAULT);
	}

	private HttpLimits with(RequestLimits configured) {
		int body = (int) Math.min(configured.bodyBytes(), this.bodyBytesInAll);
		return new HttpLimits(body, configured.headerBytes(), this.bodyBytesInAll, this.connections,
				configured.openStreams(), this.unreadBytes, this.receiveTime, configured.streamIdleTime(),
				this.idleTime);
	}

}
