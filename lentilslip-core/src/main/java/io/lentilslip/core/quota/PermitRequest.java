package io.lentilslip.core.quota;

import java.util.List;

/**
 * Immutable request of a relay to the coordinator of a team for permits. Programs are
 * identified by digests.
 *
 * @param team the name of the team
 * @param requestId identifies the reply among those to the same relay
 * @param quota the quota of the team in the route table of the requesting relay
 * @param required the permits for waiting requests of active programs
 * @param prefetch the additional permits to prefetch
 * @param expired the permits of earlier replies that expired unused
 * @param activePrograms the programs of the waiting requests of active programs
 * @param newPrograms the programs waiting for admission, one entry for each waiting
 * request
 */
public record PermitRequest(String team, long requestId, Quota quota, int required, int prefetch, int expired,
		List<Integer> activePrograms, List<Integer> newPrograms) {

	/**
	 * Creates a request for permits.
	 * @param team the name of the team
	 * @param requestId identifies the reply among those to the same relay
	 * @param quota the quota of the team in the route table of the requesting relay
	 * @param required the permits for waiting requests of active programs
	 * @param prefetch the additional permits to prefetch
	 * @param expired the permits of earlier replies that expired unused
	 * @param activePrograms the programs of the waiting requests of active programs
	 * @param newPrograms the programs waiting for admission, one entry for each waiting
	 * request
	 */
	public PermitRequest {
		activePrograms = List.copyOf(activePrograms);
		newPrograms = List.copyOf(newPrograms);
	}

	/**
	 * Returns a liveness probe of the coordinator, which requests no permits.
	 * @param requestId identifies the reply among those to the same relay
	 * @return the request
	 */
	public static PermitRequest probe(long requestId) {
		return new PermitRequest("", requestId, new Quota(1, 0), 0, 0, 0, List.of(), List.of());
	}

	/**
	 * Returns a request for permits that were already granted by a stand-in for the
	 * coordinator. It names no programs.
	 * @param team the name of the team
	 * @param requestId identifies the reply among those to the same relay
	 * @param quota the quota of the team
	 * @param granted the granted permits
	 * @return the request
	 */
	public static PermitRequest cover(String team, long requestId, Quota quota, int granted) {
		return new PermitRequest(team, requestId, quota, granted, 0, 0, List.of(), List.of());
	}

	/**
	 * Returns whether this may be a request of a stand-in. Such requests are not covered
	 * in turn: relays that know different members could do so without end.
	 * @return whether the request names no programs
	 */
	public boolean isCover() {
		return this.activePrograms.isEmpty() && this.newPrograms.isEmpty();
	}

	/**
	 * Returns whether this is a liveness probe.
	 * @return whether no permits are requested
	 */
	public boolean isProbe() {
		return this.team.isEmpty();
	}

}
