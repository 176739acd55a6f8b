package io.lentilslip.core.sidecar;

import io.lentilslip.core.reducer.Reducer;
import io.lentilslip.core.reducer.Step;

/**
 * All decisions of a sidecar. Safe for use by several threads.
 */
public final class SidecarReducer implements Reducer<SidecarState, SidecarEvent, SidecarEffect> {

	/**
	 * Creates a reducer.
	 */
	public SidecarReducer() {
	}

	@Override
	public Step<SidecarState, SidecarEffect> apply(SidecarState state, SidecarEvent event) {
		Draft draft = new Draft(state, event.now());
		follow(draft, event);
		new NodeRules(draft).stopIfDone();
		return draft.toStep();
	}

	private static void follow(Draft draft, SidecarEvent event) {
		switch (event) {
			case SidecarEvent.LogEventReceived spoke -> new LedgerRules(draft).learned(spoke.event());
			case SidecarEvent.NodeEventReceived spoke -> new NodeRules(draft).happened(spoke.event());
			case SidecarEvent.EntryConnected linked -> new EntryRules(draft).linked(linked.entry());
			case SidecarEvent.EntryDisconnected unlinked -> new EntryRules(draft).unlinked(unlinked.entry());
			case SidecarEvent.EntryMessageReceived spoke -> {
				new EntryRules(draft).spoke(spoke.entry(), spoke.message());
				new QueueRules(draft).pump();
			}
			case SidecarEvent.RunStarted started -> {
			}
			case SidecarEvent.RunProgressed progressed ->
				new RunRules(draft).progressed(progressed.run(), progressed.text());
			case SidecarEvent.RunEnded ended -> new RunRules(draft).ended(ended.run(), ended.result());
			case SidecarEvent.HistoryRead read -> {
				new HomeRules(draft).historyRead(read.program(), read.epoch(), read.turns());
				new QueueRules(draft).pump();
			}
			case SidecarEvent.HistoryReadFailed unreadable ->
				new HomeRules(draft).historyUnreadable(unreadable.program(), unreadable.epoch(), unreadable.lost());
			case SidecarEvent.UpstreamLoadReceived reported -> new RunRules(draft).reported(reported);
			case SidecarEvent.UpstreamUnreachable unreachable -> new RunRules(draft).unreachable();
			case SidecarEvent.SessionReleased released -> new SessionRules(draft).released(released.program());
			case SidecarEvent.SessionReleaseFailed kept -> new SessionRules(draft).notReleased(kept.program());
		}
	}

}
