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
		List<String> left = new ArrayList<>();
		addIfNonEmpty(left, "calls", state.calls.size());
		addIfNonEmpty(left, "attempts", state.attempts.size());
		addIfNonEmpty(left, "sent", state.attemptsByVm.size());
		addIfNonEmpty(left, "waiting", state.waitingByRoute.size());
		addIfNonEmpty(left, "claims", state.pendingClaims.size());
		addIfNonEmpty(left, "appends", state.pendingAppends.size());
		addIfNonEmpty(left, "questions", state.programRequests.size());
		addIfNonEmpty(left, "agenda", Math.max(0, state.timers.size() - MAX_IDLE_TIMERS));
		return left;
	}

	public static Ledger ledgerOf(EntryState state) {
		return state.log.ledger();
	}

	private static void addIfNonEmpty(List<String> left, String name, int size) {
		if (size > 0) {
			left.add(name + "=" + size);
		}
	}

}
