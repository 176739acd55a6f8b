package io.lentilslip.core.quota;

import java.util.List;

/**
 * Immutable request of a relay for permits of a team, to the relay that counts for it.
 * Programs are named by digests.
 *
 * @param team the name of the team
 * @param requestId distinguishes the answer from others of the same relay
 * @param quota the quota of the team, as far as the relay that asks knows
 * @param required the permits for requests that wait and whose programs are under way
 * @param prefetch the permits that are asked for beyond that
 * @param expired permits of earlier answers that ended unspent
 * @param activePrograms the programs of these requests, as far as they have one
 * @param newPrograms the programs that wait to be admitted, one for each permit
 */
public record PermitRequest(String team, long requestId, Quota quota, int required, int prefetch, int expired,
		List<Integer> activePrograms, List<Integer> newPrograms) {

	/**
	 * Creates a request for permits.
	 * @param team the name of the team
	 * @param requestId distinguishes the answer from others of the same relay
	 * @param quota the quota of the team, as far as the relay that asks knows
	 * @param required the permits for requests that wait and whose programs are under way
	 * @param prefetch the permits that are asked for beyond that
	 * @param expired permits of earlier answers that ended unspent
	 * @param activePrograms the programs of these requests, as far as they have one
	 * @param newPrograms the programs that wait to be admitted, one for each permit
	 */
	public PermitRequest {
		activePrograms = List.copyOf(activePrograms);
		newPrograms = List.copyOf(newPrograms);
	}

	/**
	 * Returns a request for nothing, whose answer shows that the other relay lives.
	 * @param requestId distinguishes the answer from others of the same relay
	 * @return the request
	 */
	public static PermitRequest probe(long number) {
		return new PermitRequest("", number, new Quota(1, 0), 0, 0, 0, List.of(), List.of());
	}

	/**
	 * Returns whether nothing is asked for.
	 * @return whether it is so
	 */
	public boolean isProbe() {
		return this.team.isEmpty();
	}

}
