package io.lentilslip.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Immutable answer to a {@link PermitRequest}.
 *
 * @param team the name of the team
 * @param number the number of the request
 * @param permits the permits for programs under way, those ahead of need included
 * @param admitted of each program that began, whether it is admitted, with one permit
 * @param retryAfter after what time the team's quota has room again
 */
public record PermitReply(String team, long number, int permits, List<Boolean> admitted, Duration retryAfter) {

	/**
	 * Creates an answer.
	 * @param team the name of the team
	 * @param number the number of the request
	 * @param permits the permits for programs under way, those ahead of need included
	 * @param admitted of each program that began, whether it is admitted, with one permit
	 * @param retryAfter after what time the team's quota has room again
	 */
	public PermitReply {
		admitted = List.copyOf(admitted);
	}

	static List<Boolean> admitted(boolean[] each) {
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
		return this.permits + (int) this.admitted.stream().filter(Boolean::booleanValue).count();
	}

}
