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
		StateBuilder draft = new StateBuilder(state, event.now());
		dispatch(draft, event);
		new NodeRules(draft).stopIfDrained();
		return draft.toStep();
	}

	private static void dispatch(StateBuilder draft, SidecarEvent event) {
		switch (event) {
			case SidecarEvent.LogEventReceived spoke -> new LedgerRules(draft).handle(spoke.event());
			case SidecarEvent.NodeEventReceived spoke -> new NodeRules(draft).handle(spoke.event());
			case SidecarEvent.EntryConnected linked -> new EntryRules(draft).connected(linked.entry());
			case SidecarEvent.EntryDisconnected unlinked -> new EntryRules(draft).disconnected(unlinked.entry());
			case SidecarEvent.EntryMessageReceived spoke -> {
				new EntryRules(draft).handle(spoke.entry(), spoke.message());
				new QueueRules(draft).startJobs();
			}
			case SidecarEvent.RunStarted started -> {
			}
			case SidecarEvent.RunProgressed progressed ->
				new RunRules(draft).progressed(progressed.run(), progressed.text());
			case SidecarEvent.RunEnded ended -> new RunRules(draft).ended(ended.run(), ended.result());
			case SidecarEvent.HistoryRead read -> {
				new HomeRules(draft).historyRead(read.program(), read.epoch(), read.turns());
				new QueueRules(draft).startJobs();
			}
			case SidecarEvent.HistoryReadFailed unreadable ->
				new HomeRules(draft).historyReadFailed(unreadable.program(), unreadable.epoch(), unreadable.lost());
			case SidecarEvent.UpstreamLoadReceived reported -> new RunRules(draft).loadReceived(reported);
			case SidecarEvent.UpstreamUnreachable unreachable -> new RunRules(draft).unreachable();
			case SidecarEvent.SessionReleased released -> new SessionRules(draft).released(released.program());
			case SidecarEvent.SessionReleaseFailed kept -> new SessionRules(draft).releaseFailed(kept.program());
		}
	}

}
