package io.lentilslip.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Immutable reply to a {@link PermitRequest}.
 *
 * @param team the name of the team
 * @param requestId the id of the request
 * @param permits the permits for active programs, including prefetched ones
 * @param admissions whether each new program is admitted; each admission includes one
 * permit
 * @param retryAfter the time after which a rejected request can be retried
 */
public record PermitReply(String team, long requestId, int permits, List<Boolean> admissions, Duration retryAfter) {

	/**
	 * Creates a reply.
	 * @param team the name of the team
	 * @param requestId the id of the request
	 * @param permits the permits for active programs, including prefetched ones
	 * @param admissions whether each new program is admitted; each admission includes one
	 * permit
	 * @param retryAfter the time after which a rejected request can be retried
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
	 * Returns the total number of granted permits.
	 * @return the total of permits for active and new programs
	 */
	public int total() {
		return this.permits + (int) this.admissions.stream().filter(Boolean::booleanValue).count();
	}

}
