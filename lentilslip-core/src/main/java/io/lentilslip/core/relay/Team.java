package io.lentilslip.core.relay;

import java.util.Optional;
import java.util.OptionalInt;

import io.lentilslip.core.quota.Quota;

/**
 * Immutable view of a team whose callers share API keys and a quota.
 *
 * @param name the name, as sent to upstreams
 * @param priority its priority, which overrides that of the route; 0 is the highest
 * @param quota its quota; empty if it is unlimited
 */
public record Team(String name, OptionalInt priority, Optional<Quota> quota) {

	/**
	 * Returns an id of a program, turn or affinity key of the team that can't collide
	 * with ids of other teams.
	 * @param id the id that a caller assigned
	 * @return the id, prefixed with the escaped name of the team
	 */
	public String scopedId(String id) {
		return this.name.replace("%", "%25").replace("/", "%2F") + "/" + id;
	}

}
