package io.lentilslip.core.entry;

import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.ledger.Ledger;

/**
 * Inspects the state of an entry for tests. The checked collections should be empty when
 * no request is in flight.
 */
public final class EntryStateInspector {

	private static final int MAX_IDLE_TIMERS = 4;

	private EntryStateInspector() {
	}

	public static List<String> nonEmptyCollections(EntryState state) {
		List<String> nonEmpty = new ArrayList<>();
		addIfNonEmpty(nonEmpty, "calls", state.calls.size());
		addIfNonEmpty(nonEmpty, "attempts", state.attempts.size());
		addIfNonEmpty(nonEmpty, "attemptsByVm", state.attemptsByVm.size());
		addIfNonEmpty(nonEmpty, "waitingByRoute", state.waitingByRoute.size());
		addIfNonEmpty(nonEmpty, "pendingClaims", state.pendingClaims.size());
		addIfNonEmpty(nonEmpty, "pendingAppends", state.pendingAppends.size());
		addIfNonEmpty(nonEmpty, "programRequests", state.programRequests.size());
		addIfNonEmpty(nonEmpty, "timers", Math.max(0, state.timers.size() - MAX_IDLE_TIMERS));
		return nonEmpty;
	}

	public static Ledger ledgerOf(EntryState state) {
		return state.log.ledger();
	}

	private static void addIfNonEmpty(List<String> nonEmpty, String name, int size) {
		if (size > 0) {
			nonEmpty.add(name + "=" + size);
		}
	}

}
