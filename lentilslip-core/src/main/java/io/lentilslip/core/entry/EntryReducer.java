package io.lentilslip.core.entry;

import io.lentilslip.core.reducer.Reducer;
import io.lentilslip.core.reducer.Step;
import io.lentilslip.core.role.NodeEvent;

/**
 * Reducer that makes all decisions of an entry. Safe for use by several threads.
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
		handle(draft, routes, event);
		new BudgetRules(draft, routes).advance();
		new NodeRules(draft, routes).stopIfDone();
		return draft.toStep();
	}

	// The time suffices as seed of other events: the seed only randomizes placement.
	private static long seedOf(EntryEvent event) {
		return switch (event) {
			case EntryEvent.CallArrived arrived -> arrived.seed();
			case EntryEvent.NodeEventReceived received when received.event() instanceof NodeEvent.Ticked ticked ->
				ticked.seed();
			default -> event.now().getNano();
		};
	}

	private static void handle(Draft draft, RouteRules routes, EntryEvent event) {
		SidecarRules sidecars = new SidecarRules(draft, routes);
		CallerRules callers = new CallerRules(draft);
		switch (event) {
			case EntryEvent.LogEventReceived received -> new LedgerRules(draft, routes).handle(received.event());
			case EntryEvent.NodeEventReceived received -> new NodeRules(draft, routes).handle(received.event());
			case EntryEvent.CallArrived arrived -> callers.callArrived(arrived, arrived.seed());
			case EntryEvent.CallerDisconnected disconnected -> callers.callerDisconnected(disconnected.ticket());
			case EntryEvent.ProgramStateRequested requested -> callers.stateRequested(requested);
			case EntryEvent.ProgramEndRequested requested -> callers.endRequested(requested);
			case EntryEvent.SidecarLinked linked -> sidecars.linked(linked);
			case EntryEvent.SidecarUnlinked unlinked -> sidecars.unlinked(unlinked);
			case EntryEvent.SidecarMessageReceived received -> sidecars.messageReceived(received);
			case EntryEvent.SendRefused refused -> sidecars.sendRefused(refused);
		}
	}

}
