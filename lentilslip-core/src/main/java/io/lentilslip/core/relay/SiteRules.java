package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.Upstreams.UpstreamState;

/**
 * What a relay makes of the site's state: routes, upstreams, and whether it can serve.
 * Used by one thread.
 */
final class SiteRules {

	private final RelayState state;

	private final BudgetRules budgets;

	private final Set<String> complete = new HashSet<>();

	private final ReportedErrors problems = new ReportedErrors();

	SiteRules(RelayState state, BudgetRules budgets) {
		this.state = state;
		this.budgets = budgets;
	}

	void updateReadiness() {
		if (!this.state.ledgerComplete && this.state.caughtUp) {
			lookWhetherComplete();
		}
		boolean now = this.state.routeTable.isPresent() && this.state.upstreams.initialized() && this.state.caughtUp
				&& this.state.membershipKnown() && this.state.connectivity != Connectivity.NOTHING
				&& this.state.textEndOffset >= 0;
		if (now != this.state.ready) {
			this.state.ready = now;
			this.state.emit(new RelayEffect.ReportReadiness(now));
		}
	}

	// Programs are remembered for as long as their routes say: after that time nothing is
	// asked for any more that was given before this relay's start. Where the log had just
	// been written to, all relays were lost without an outage before, and all that they
	// gave stands in it.
	private void lookWhetherComplete() {
		long waited = this.state.now - this.state.caughtUpAt;
		if (this.state.logWasRecent && waited > RelaySettings.SYNC_TIMEOUT.toMillis()) {
			complete();
			return;
		}
		Duration longest = this.state.routeTable.stream()
			.flatMap((table) -> table.routes().stream())
			.map(Route::retention)
			.max(Duration::compareTo)
			.orElse(Duration.ZERO);
		if (waited > longest.toMillis()) {
			complete();
		}
	}

	void routeTableUpdated(RouteTable read) {
		if (this.state.routeTable.isPresent() && this.state.routeTable.get().version() >= read.version()) {
			return;
		}
		this.state.routeTable = Optional.of(read);
		this.state.emit(new RelayEffect.ApplyLimits(read.limits()));
		this.state.report(RelayNotices.routesAccepted(read));
	}

	void upstreamUpdated(Upstream upstream) {
		Optional<Upstream> before = this.state.upstreams.find(upstream.id()).map(UpstreamState::upstream);
		if (!this.state.upstreams.put(upstream)) {
			tellUnusable(upstream.id(), UpstreamRecordError.EARLIER_LIFE);
			return;
		}
		if (!before.equals(Optional.of(upstream))) {
			this.state.report(RelayNotices.upstreamListed(upstream));
		}
	}

	/**
	 * Takes that a record names no upstream to use: an upstream that it named before is
	 * used no more, and all others hold.
	 * @param key the key of the record
	 * @param problem why
	 */
	void upstreamInvalid(String key, UpstreamRecordError problem) {
		tellUnusable(key, problem);
		if (this.state.upstreams.find(key).isPresent()) {
			upstreamRemoved(key);
		}
	}

	private void tellUnusable(String key, UpstreamRecordError problem) {
		if (this.problems.markReported(key, problem)) {
			this.state.report(RelayNotices.upstreamInvalid(key, problem));
		}
	}

	void upstreamRemoved(String upstream) {
		this.state.upstreams.remove(upstream);
		this.state.report(RelayNotices.upstreamRemoved(upstream));
	}

	/**
	 * Takes that the relay did not run for a while. What others gave to programs
	 * meanwhile is not known here; decided on old beliefs, a turn that came during the
	 * sleep could pass its budget. So turns wait until the log was read once more.
	 * @param slept for how long
	 */
	void processResumed(Duration slept) {
		this.state.report(RelayNotices.processResumed(slept));
		if (this.state.caughtUp) {
			this.state.logStale = true;
			this.state.emit(new RelayEffect.CatchUp());
		}
	}

	/**
	 * Takes that another relay is linked, and tells it what it may not have heard while
	 * it was not.
	 * @param peer the other relay
	 */
	void peerConnected(String peer) {
		this.state.linkedPeers.add(peer);
		sendSync(peer);
	}

	/**
	 * Tells another relay what is known here beyond the log of programs that it keeps.
	 * @param peer the other relay
	 */
	void sendSync(String peer) {
		List<LedgerEntry> entries = this.state.uncommitted.all();
		if (this.state.replicas.contains(peer)) {
			entries = entries.stream()
				.filter((entry) -> entry.findProgram()
					.filter((program) -> this.state.replicas.replicasOf(program).contains(peer))
					.isPresent())
				.toList();
		}
		this.state.emit(new RelayEffect.SendSync(peer, entries, this.state.ledgerComplete));
	}

	/**
	 * Takes that the link to another relay is lost.
	 * @param peer the other relay
	 */
	void peerDisconnected(String peer) {
		this.state.linkedPeers.remove(peer);
	}

	/**
	 * Takes that another relay, which misses nothing, has told all that it knows beyond
	 * the log. What was given without the log is known to a majority, of which this relay
	 * may have been one before it started again; among so many others at least one other
	 * member of it is.
	 * @param peer the other relay
	 * @param others how many other relays are known
	 */
	void syncReceived(String peer, int others) {
		this.complete.add(peer);
		boolean enough = this.complete.size() >= (others + 2) / 2;
		if (enough) {
			complete();
		}
	}

	private void complete() {
		if (!this.state.ledgerComplete) {
			this.state.ledgerComplete = true;
			this.state.report(RelayNotices.syncCompleted(this.complete.size()));
		}
	}

	/**
	 * Takes what the relay reaches. Of turns that wait for their place in a log that is
	 * out of reach the other relays are asked at once.
	 * @param reach what it reaches
	 */
	void connectivityChanged(Connectivity reach) {
		this.state.connectivity = reach;
		this.state.report(RelayNotices.connectivityChanged(reach));
		if (reach != Connectivity.LOG) {
			List.copyOf(this.state.conditionalReservations.values())
				.forEach((number) -> this.budgets.decisionTimedOut(this.state.exchanges.get(number)));
		}
	}

}
