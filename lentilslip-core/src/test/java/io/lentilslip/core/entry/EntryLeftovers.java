package io.lentilslip.core.entry;

import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.ledger.Ledger;

/**
 * Names the collections of an entry's state that hold something although nothing is under
 * way.
 */
public final class EntryLeftovers {

	private static final int AGENDA_BOUND = 4;

	private EntryLeftovers() {
	}

	public static List<String> in(EntryState state) {
		List<String> left = new ArrayList<>();
		note(left, "calls", state.calls.size());
		note(left, "attempts", state.attempts.size());
		note(left, "sent", state.sent.size());
		note(left, "waiting", state.waiting.size());
		note(left, "claims", state.claims.size());
		note(left, "appends", state.appends.size());
		note(left, "questions", state.questions.size());
		note(left, "agenda", Math.max(0, state.agenda.size() - AGENDA_BOUND));
		return left;
	}

	public static Ledger ledgerOf(EntryState state) {
		return state.log.ledger();
	}

	private static void note(List<String> left, String name, int size) {
		if (size > 0) {
			left.add(name + "=" + size);
		}
	}

}
