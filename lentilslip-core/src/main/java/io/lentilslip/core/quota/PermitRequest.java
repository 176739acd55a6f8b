package io.lentilslip.core.quota;

import java.util.List;

/**
 * Immutable request of a relay for permits of a team, to the relay that counts for it.
 * Programs are named by digests.
 *
 * @param team the name of the team
 * @param number distinguishes the answer from others of the same relay
 * @param quota the quota of the team, as far as the relay that asks knows
 * @param wanted the permits for requests that wait and whose programs are under way
 * @param ahead the permits that are asked for beyond that
 * @param returned permits of earlier answers that ended unspent
 * @param underWay the programs of these requests, as far as they have one
 * @param beginning the programs that wait to be admitted, one for each permit
 */
public record PermitRequest(String team, long number, Quota quota, int wanted, int ahead, int returned,
		List<Integer> underWay, List<Integer> beginning) {

	/**
	 * Creates a request for permits.
	 * @param team the name of the team
	 * @param number distinguishes the answer from others of the same relay
	 * @param quota the quota of the team, as far as the relay that asks knows
	 * @param wanted the permits for requests that wait and whose programs are under way
	 * @param ahead the permits that are asked for beyond that
	 * @param returned permits of earlier answers that ended unspent
	 * @param underWay the programs of these requests, as far as they have one
	 * @param beginning the programs that wait to be admitted, one for each permit
	 */
	public PermitRequest {
		underWay = List.copyOf(underWay);
		beginning = List.copyOf(beginning);
	}

	/**
	 * Returns a request for nothing, whose answer shows that the other relay lives.
	 * @param number distinguishes the answer from others of the same relay
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
