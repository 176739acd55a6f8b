package io.lentilslip.core.entry;

import io.lentilslip.core.reducer.Reducer;
import io.lentilslip.core.reducer.Step;
import io.lentilslip.core.role.NodeEvent;

/**
 * All decisions of an entry. Safe for use by several threads.
 */
public final class EntryReducer implements Reducer<EntryState, EntryEvent, EntryEffect> {

	/**
	 * Creates a reducer.
	 */
	public EntryReducer() {
	}

	@Override
	public Step<EntryState, EntryEffect> apply(EntryState state, EntryEvent event) {
		Draft draft = new Draft(state, event.now());
		RouteRules routes = new RouteRules(draft, seedOf(event));
		follow(draft, routes, event);
		new BudgetRules(draft, routes).advance();
		new NodeRules(draft, routes).stopIfDone();
		return draft.toStep();
	}

	// Events without a seed of their own take the time: it only spreads choices.
	private static long seedOf(EntryEvent event) {
		return switch (event) {
			case EntryEvent.CallArrived arrived -> arrived.seed();
			case EntryEvent.NodeSpoke spoke when spoke.event() instanceof NodeEvent.Ticked ticked -> ticked.seed();
			default -> event.now().getNano();
		};
	}

	private static void follow(Draft draft, RouteRules routes, EntryEvent event) {
		SidecarRules sidecars = new SidecarRules(draft, routes);
		CallerRules callers = new CallerRules(draft);
		switch (event) {
			case EntryEvent.LogSpoke spoke -> new LedgerRules(draft, routes).learned(spoke.event());
			case EntryEvent.NodeSpoke spoke -> new NodeRules(draft, routes).happened(spoke.event());
			case EntryEvent.CallArrived arrived -> callers.arrived(arrived, arrived.seed());
			case EntryEvent.CallerGone gone -> callers.gone(gone.ticket());
			case EntryEvent.ProgramAsked asked -> callers.asked(asked);
			case EntryEvent.ProgramEndAsked asked -> callers.endAsked(asked);
			case EntryEvent.SidecarLinked linked -> sidecars.linked(linked);
			case EntryEvent.SidecarUnlinked unlinked -> sidecars.unlinked(unlinked);
			case EntryEvent.SidecarSpoke spoke -> sidecars.spoke(spoke);
			case EntryEvent.SendRefused refused -> sidecars.sendRefused(refused);
		}
	}

}
