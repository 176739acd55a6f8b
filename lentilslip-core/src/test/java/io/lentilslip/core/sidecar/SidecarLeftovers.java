package io.lentilslip.core.sidecar;

import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.ledger.Ledger;
import io.vavr.collection.Set;

/**
 * Lists the collections of a sidecar's state that are not empty after all calls have
 * finished and all programs have ended.
 */
public final class SidecarLeftovers {

	private SidecarLeftovers() {
	}

	public static List<String> in(SidecarState state) {
		List<String> left = new ArrayList<>();
		addIfNotEmpty(left, "jobs", state.jobs.size());
		addIfNotEmpty(left, "jobsByAttempt", state.jobsByAttempt.size());
		addIfNotEmpty(left, "runs", state.runs.size());
		addIfNotEmpty(left, "awaitingCrashRecord", state.awaitingCrashRecord.size());
		addIfNotEmpty(left, "isolatedJob", (state.isolatedJob.isPresent()) ? 1 : 0);
		addIfNotEmpty(left, "queue", state.queue.size());
		addIfNotEmpty(left, "homes", state.homes.size());
		addIfNotEmpty(left, "programsByWaitingAttempt", state.programsByWaitingAttempt.size());
		addIfNotEmpty(left, "awaitingLog", state.awaitingLog.size());
		addIfNotEmpty(left, "appends", state.appends.size());
		addIfNotEmpty(left, "sessions", state.sessions.size());
		addIfNotEmpty(left, "openAttempts", state.openAttempts.values().map(Set::size).sum().intValue());
		return left;
	}

	public static Ledger ledgerOf(SidecarState state) {
		return state.log.ledger();
	}

	private static void addIfNotEmpty(List<String> left, String name, int size) {
		if (size > 0) {
			left.add(name + "=" + size);
		}
	}

}
