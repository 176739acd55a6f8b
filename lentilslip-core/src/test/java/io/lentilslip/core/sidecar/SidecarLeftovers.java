package io.lentilslip.core.sidecar;

import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.ledger.Ledger;
import io.vavr.collection.Set;

/**
 * Names the collections of a sidecar's state that hold something although nothing is
 * under way and all programs have ended.
 */
public final class SidecarLeftovers {

	private SidecarLeftovers() {
	}

	public static List<String> in(SidecarState state) {
		List<String> left = new ArrayList<>();
		note(left, "jobs", state.jobs.size());
		note(left, "attempts", state.jobsByAttempt.size());
		note(left, "runs", state.runs.size());
		note(left, "blamed", state.awaitingCrashRecord.size());
		note(left, "alone", (state.isolatedJob.isPresent()) ? 1 : 0);
		note(left, "queue", state.queue.size());
		note(left, "homes", state.homes.size());
		note(left, "waiting", state.programsByWaitingAttempt.size());
		note(left, "parked", state.awaitingLog.size());
		note(left, "appends", state.appends.size());
		note(left, "sessions", state.sessions.size());
		note(left, "open", state.openAttempts.values().map(Set::size).sum().intValue());
		return left;
	}

	public static Ledger ledgerOf(SidecarState state) {
		return state.log.ledger();
	}

	private static void note(List<String> left, String name, int size) {
		if (size > 0) {
			left.add(name + "=" + size);
		}
	}

}
