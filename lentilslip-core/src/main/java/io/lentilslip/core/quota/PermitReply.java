package io.lentilslip.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Immutable answer to a {@link PermitRequest}.
 *
 * @param team the name of the team
 * @param requestId the number of the request
 * @param permits the permits for programs under way, those ahead of need included
 * @param admissions of each program that began, whether it is admitted, with one permit
 * @param retryAfter after what time the team's quota has room again
 */
public record PermitReply(String team, long requestId, int permits, List<Boolean> admissions, Duration retryAfter) {

	/**
	 * Creates an answer.
	 * @param team the name of the team
	 * @param requestId the number of the request
	 * @param permits the permits for programs under way, those ahead of need included
	 * @param admissions of each program that began, whether it is admitted, with one
	 * permit
	 * @param retryAfter after what time the team's quota has room again
	 */
	public PermitReply {
		admissions = List.copyOf(admissions);
	}

	static List<Boolean> admissions(boolean[] each) {
		List<Boolean> all = new ArrayList<>(each.length);
		for (boolean next : each) {
			all.add(next);
		}
		return all;
	}

	/**
	 * Returns how many permits it has in all.
	 * @return the number
	 */
	public int total() {
		return this.permits + (int) this.admissions.stream().filter(Boolean::booleanValue).count();
	}

}
