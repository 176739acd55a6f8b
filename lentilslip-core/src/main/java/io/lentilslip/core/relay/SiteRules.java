package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.Upstreams.UpstreamState;

/**
 * Maintains a relay's view of the site: routes, upstreams, peers and readiness. Not
 * thread-safe.
 */
final class SiteRules {

	private final RelayState state;

	private final BudgetRules budgets;

	private final Set<String> syncedPeers = new HashSet<>();

	private final ReportedErrors reportedErrors = new ReportedErrors();

	SiteRules(RelayState state, BudgetRules budgets) {
		this.state = state;
		this.budgets = budgets;
	}

	void updateReadiness() {
		if (!this.state.ledgerComplete && this.state.caughtUp) {
			checkLedgerComplete();
		}
		boolean ready = this.state.routeTable.isPresent() && this.state.upstreams.initialized() && this.state.caughtUp
				&& this.state.membershipKnown() && this.state.connectivity != Connectivity.NOTHING
				&& this.state.textEndOffset >= 0;
		if (ready != this.state.ready) {
			this.state.ready = ready;
			this.state.emit(new RelayEffect.ReportReadiness(ready));
		}
	}

	// Completes the ledger without a quorum of peers. If the log was written to shortly
	// before the start, there was no outage and the log has all reservations. Otherwise
	// earlier reservations are irrelevant after the longest retention of a route.
	private void checkLedgerComplete() {
		long waited = this.state.now - this.state.caughtUpAt;
		if (this.state.logWasRecent && waited > RelaySettings.SYNC_TIMEOUT.toMillis()) {
			markLedgerComplete();
			return;
		}
		Duration longest = this.state.routeTable.stream()
			.flatMap((table) -> table.routes().stream())
			.map(Route::retention)
			.max(Duration::compareTo)
			.orElse(Duration.ZERO);
		if (waited > longest.toMillis()) {
			markLedgerComplete();
		}
	}

	void routeTableUpdated(RouteTable table) {
		if (this.state.routeTable.isPresent() && this.state.routeTable.get().version() >= table.version()) {
			return;
		}
		this.state.routeTable
			.ifPresent((previous) -> this.state.earlierRoutes.replaced(previous, table, this.state.now));
		this.state.routeTable = Optional.of(table);
		this.state.updateStreamRetention(table.longestResumableTimeout().multipliedBy(RelaySettings.STREAM_ATTEMPTS));
		this.state.responseTimes.retain(table.routes().stream().map(Route::name).collect(Collectors.toSet()));
		this.state.emit(new RelayEffect.ApplyLimits(table.limits()));
		this.state.report(RelayNotices.routesAccepted(table));
	}

	void upstreamsReplaced(List<Upstream> upstreams) {
		this.state.upstreams.replace(upstreams, this.state.now);
		this.state.upstreamsListed();
		recordFailuresOfEnded();
	}

	void upstreamUpdated(Upstream upstream) {
		Optional<Upstream> previous = this.state.upstreams.find(upstream.id()).map(UpstreamState::upstream);
		if (!this.state.upstreams.put(upstream, this.state.now)) {
			reportInvalid(upstream.id(), UpstreamRecordError.EARLIER_LIFE);
			return;
		}
		recordFailuresOfEnded();
		if (!previous.equals(Optional.of(upstream))) {
			this.state.report(RelayNotices.upstreamListed(upstream));
		}
	}

	/**
	 * Handles an invalid upstream record: removes the upstream of the same key, if there
	 * is one. Other upstreams are not affected.
	 * @param key the key of the record
	 * @param error the reason
	 */
	void upstreamInvalid(String key, UpstreamRecordError error) {
		reportInvalid(key, error);
		if (this.state.upstreams.find(key).isPresent()) {
			upstreamRemoved(key);
		}
	}

	private void reportInvalid(String key, UpstreamRecordError error) {
		if (this.reportedErrors.markReported(key, error)) {
			this.state.report(RelayNotices.upstreamInvalid(key, error));
		}
	}

	void upstreamRemoved(String upstream) {
		this.state.upstreams.remove(upstream, this.state.now);
		this.state.report(RelayNotices.upstreamRemoved(upstream));
		recordFailuresOfEnded();
	}

	private void recordFailuresOfEnded() {
		this.state.upstreams.drainEnded().forEach(this.state.failureRules::incarnationEnded);
	}

	/**
	 * Handles a pause of the process. Reservations of other relays during the pause are
	 * unknown, so a turn could exceed its budget. Turns wait until the relay has caught
	 * up with the log again.
	 * @param pause the length of the pause
	 */
	void processResumed(Duration pause) {
		this.state.report(RelayNotices.processResumed(pause));
		if (this.state.caughtUp) {
			this.state.logStale = true;
			this.state.emit(new RelayEffect.CatchUp());
		}
	}

	/**
	 * Handles a new connection to another relay, and sends it the uncommitted entries
	 * that it may have missed.
	 * @param peer the other relay
	 */
	void peerConnected(String peer) {
		this.state.linkedPeers.add(peer);
		sendSync(peer);
	}

	/**
	 * Sends another relay the uncommitted entries of the programs that it replicates, and
	 * those that concern all relays.
	 * @param peer the other relay
	 */
	void sendSync(String peer) {
		List<LedgerEntry> entries = this.state.uncommitted.all();
		if (this.state.replicas.contains(peer)) {
			entries = entries.stream()
				.filter((entry) -> entry.findProgram()
					.map((program) -> this.state.replicas.replicasOf(program).contains(peer))
					.orElse(true))
				.toList();
		}
		this.state.emit(new RelayEffect.SendSync(peer, entries, this.state.ledgerComplete));
	}

	/**
	 * Handles the loss of the connection to another relay.
	 * @param peer the other relay
	 */
	void peerDisconnected(String peer) {
		this.state.linkedPeers.remove(peer);
	}

	/**
	 * Handles a completed sync from another relay whose ledger is complete. Uncommitted
	 * reservations are known to a majority of the relays, which may have included this
	 * relay before its restart. A quorum of other relays contains at least one other
	 * member of that majority.
	 * @param peer the other relay
	 * @param otherRelays the number of other known relays
	 */
	void syncReceived(String peer, int otherRelays) {
		this.syncedPeers.add(peer);
		boolean quorum = this.syncedPeers.size() >= (otherRelays + 2) / 2;
		if (quorum) {
			markLedgerComplete();
		}
	}

	private void markLedgerComplete() {
		if (!this.state.ledgerComplete) {
			this.state.ledgerComplete = true;
			this.state.report(RelayNotices.syncCompleted(this.syncedPeers.size()));
		}
	}

	/**
	 * Handles a change of connectivity. If the log is unreachable, the other relays are
	 * asked immediately about turns that wait for a decision through the log.
	 * @param connectivity the new connectivity
	 */
	void connectivityChanged(Connectivity connectivity) {
		this.state.connectivity = connectivity;
		this.state.report(RelayNotices.connectivityChanged(connectivity));
		if (connectivity != Connectivity.LOG) {
			List.copyOf(this.state.conditionalReservations.values())
				.forEach((number) -> this.budgets.logLost(this.state.exchanges.get(number)));
		}
	}

}
