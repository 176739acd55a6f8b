package io.lentilslip.core.relay;

import java.util.OptionalLong;

/**
 * One life of an upstream, as the platform lists it. What is believed of an upstream
 * (cache, load, avoidance, blame) and its connections belong to a life and end with it.
 * Immutable and safe for use by several threads.
 *
 * @param id the id under which it is listed; it may come again after a restart
 * @param service the service that it offers
 * @param host its IP number
 * @param port its port
 * @param zone its availability zone
 * @param slots the requests that it runs at once
 * @param draining whether it takes no new work
 * @param startedAt when this life began, in milliseconds of the upstream's own clock of
 * the day; empty if it does not say
 */
public record Upstream(String id, String service, String host, int port, String zone, int slots, boolean draining,
		OptionalLong startedAt) {

	/**
	 * Returns what names this life among all lives of all upstreams.
	 * @return the id, with the beginning of the life where it is known
	 */
	public String incarnationId() {
		return this.startedAt.isPresent() ? this.id + "@" + this.startedAt.getAsLong() : this.id;
	}

	/**
	 * Returns whether this may follow what is known of the same id: it is the same life,
	 * or a later one. A claim without a beginning follows only one without. Beginnings of
	 * one id are compared with each other alone, so a clock that is off does no harm.
	 * @param current what is known
	 * @return whether it may
	 */
	boolean supersedes(Upstream current) {
		if (current.startedAt.isEmpty()) {
			return true;
		}
		return this.startedAt.isPresent() && this.startedAt.getAsLong() >= current.startedAt.getAsLong();
	}

}
