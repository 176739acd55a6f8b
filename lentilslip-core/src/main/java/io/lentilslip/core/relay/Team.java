package io.lentilslip.core.relay;

import java.util.Optional;
import java.util.OptionalInt;

import io.lentilslip.core.quota.Quota;

/**
 * Immutable view of a team whose callers share API keys and a quota.
 *
 * @param name the name, as upstreams receive it
 * @param priority its rank, which goes before that of a route; 0 is the highest
 * @param quota the limit on its requests; empty if there is none
 */
public record Team(String name, OptionalInt priority, Optional<Quota> quota) {

	/**
	 * Returns a name of a program, turn or object of the team that differs from those of
	 * other teams.
	 * @param id the name that a caller gave it
	 * @return the name
	 */
	public String scopedId(String id) {
		return this.name.replace("%", "%25").replace("/", "%2F") + "/" + id;
	}

}
