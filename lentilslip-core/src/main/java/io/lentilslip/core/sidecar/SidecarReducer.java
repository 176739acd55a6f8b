package io.lentilslip.core.sidecar;

import io.lentilslip.core.reducer.Reducer;
import io.lentilslip.core.reducer.Step;

/**
 * Reducer that makes all decisions of a sidecar. Stateless and safe for use by several
 * threads.
 */
public final class SidecarReducer implements Reducer<SidecarState, SidecarEvent, SidecarEffect> {

	/**
	 * Creates a reducer.
	 */
	public SidecarReducer() {
	}

	@Override
	public Step<SidecarState, SidecarEffect> apply(SidecarState state, SidecarEvent event) {
		StateBuilder builder = new StateBuilder(state, event.now());
		dispatch(builder, event);
		new NodeRules(builder).stopIfDrained();
		return builder.toStep();
	}

	private static void dispatch(StateBuilder builder, SidecarEvent event) {
		switch (event) {
			case SidecarEvent.LogEventReceived received -> new LedgerRules(builder).handle(received.event());
			case SidecarEvent.NodeEventReceived received -> new NodeRules(builder).handle(received.event());
			case SidecarEvent.EntryConnected connected -> new EntryRules(builder).connected(connected.entry());
			case SidecarEvent.EntryDisconnected disconnected ->
				new EntryRules(builder).disconnected(disconnected.entry());
			case SidecarEvent.EntryMessageReceived received -> {
				new EntryRules(builder).handle(received.entry(), received.message());
				new QueueRules(builder).startJobs();
			}
			case SidecarEvent.RunStarted started -> {
			}
			case SidecarEvent.RunProgressed progressed ->
				new RunRules(builder).progressed(progressed.run(), progressed.text());
			case SidecarEvent.RunEnded ended -> new RunRules(builder).ended(ended.run(), ended.result());
			case SidecarEvent.HistoryRead read -> {
				new HomeRules(builder).historyRead(read.program(), read.epoch(), read.turns());
				new QueueRules(builder).startJobs();
			}
			case SidecarEvent.HistoryReadFailed failed ->
				new HomeRules(builder).historyReadFailed(failed.program(), failed.epoch(), failed.lost());
			case SidecarEvent.UpstreamLoadReceived reported -> new RunRules(builder).loadReceived(reported);
			case SidecarEvent.UpstreamUnreachable unreachable -> new RunRules(builder).unreachable();
			case SidecarEvent.SessionReleased released -> new SessionRules(builder).released(released.program());
			case SidecarEvent.SessionReleaseFailed failed -> new SessionRules(builder).releaseFailed(failed.program());
		}
	}

}
