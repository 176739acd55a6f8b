package io.lentilslip.core.relay;

import java.util.OptionalLong;

/**
 * Immutable incarnation of an upstream, as listed by the platform. Connections and
 * estimates (cache, load, ejection, failures) belong to one incarnation and are discarded
 * with it. Safe for use by several threads.
 *
 * @param id the id under which it is listed; may be reused after a restart
 * @param service the service that it provides
 * @param host its IP address
 * @param port its port
 * @param zone its availability zone
 * @param slots the maximum number of concurrent requests
 * @param draining whether it accepts no new requests
 * @param startedAt when this incarnation started, in milliseconds of the upstream's own
 * wall clock; empty if unknown
 * @param version the version of its software; empty if unknown
 */
public record Upstream(String id, String service, String host, int port, String zone, int slots, boolean draining,
		OptionalLong startedAt, String version) {

	/**
	 * Returns an id that is unique among all incarnations of all upstreams.
	 * @return the id of the upstream, with the start time if it is known
	 */
	public String incarnationId() {
		return this.startedAt.isPresent() ? this.id + "@" + this.startedAt.getAsLong() : this.id;
	}

	/**
	 * Returns whether this is the same or a later incarnation of an upstream with the
	 * same id. A record without a start time supersedes only a record without one. Start
	 * times are compared only within one id, so clock skew between upstreams does no
	 * harm.
	 * @param current the known incarnation
	 * @return whether this record replaces it
	 */
	boolean supersedes(Upstream current) {
		if (current.startedAt.isEmpty()) {
			return true;
		}
		return this.startedAt.isPresent() && this.startedAt.getAsLong() >= current.startedAt.getAsLong();
	}

}
