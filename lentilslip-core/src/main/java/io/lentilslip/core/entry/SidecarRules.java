package io.lentilslip.core.entry;

import java.util.Optional;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import io.vavr.collection.Set;

/**
 * Rules for links to sidecars and their messages. Confined to one application of the
 * reducer.
 */
final class SidecarRules {

	private final Draft draft;

	private final RouteRules routes;

	SidecarRules(Draft draft, RouteRules routes) {
		this.draft = draft;
		this.routes = routes;
	}

	void linked(EntryEvent.SidecarLinked event) {
		Optional<Peer> peer = this.draft.peer(event.vm());
		if (peer.isEmpty()) {
			return;
		}
		// The process must be on the configured VM. Otherwise calls could reach a process
		// that is not bound by the claims of that VM.
		if (!event.sidecar().vm().equals(event.vm())) {
			this.draft.report(NoticeCode.MESSAGE_REFUSED.with(FieldName.REASON, "another VM answers"));
			this.draft.emit(new EntryEffect.Disconnect(event.vm()));
			return;
		}
		this.draft.put(peer.get().linked(event.sidecar(), this.draft.now));
		this.routes.linkLost(event.vm());
		this.draft.report(NoticeCode.SIDECAR_LINKED.with(FieldName.VM, event.vm())
			.with(FieldName.ZONE, peer.get().policy().zone()));
		rerouteAll();
	}

	void unlinked(EntryEvent.SidecarUnlinked event) {
		Optional<Peer> peer = this.draft.peer(event.vm());
		if (peer.isEmpty()) {
			return;
		}
		if (peer.get().process().isPresent()) {
			this.draft.report(NoticeCode.LINK_LOST.with(FieldName.COUNT,
					this.draft.attemptsByVm.get(event.vm()).map(Set::size).getOrElse(0)));
		}
		this.draft.put(peer.get().unlinked(this.draft.now));
		this.routes.linkLost(event.vm());
	}

	private void rerouteAll() {
		this.draft.waitingByRoute.keySet().forEach(this.routes::reroute);
	}

	void messageReceived(EntryEvent.SidecarMessageReceived event) {
		VmName vm = event.sidecar().vm();
		Optional<Peer> peer = this.draft.peer(vm).filter((each) -> each.isLinkedTo(event.sidecar()));
		if (peer.isEmpty()) {
			return;
		}
		switch (event.message()) {
			case LinkMessage.Accepted accepted -> {
			}
			case LinkMessage.Started started -> started(started);
			case LinkMessage.Delta delta -> deltaReceived(delta);
			case LinkMessage.Finished finished -> finished(finished);
			case LinkMessage.ProgramResponse answer -> new CallerRules(this.draft).stateReceived(answer);
			case LinkMessage.LoadReport report -> this.draft.put(peer.get().withReport(report));
			case LinkMessage.Draining draining -> draining(peer.get());
			case LinkMessage.Hello hello -> {
			}
			case LinkMessage.Heartbeat heartbeat -> {
			}
			case LinkMessage.ConfigurationOffer offer -> {
			}
		}
	}

	private void draining(Peer peer) {
		this.draft.put(peer.withDraining());
		this.draft.report(NoticeCode.UPSTREAM_LEAVING.with(FieldName.VM, peer.policy().vm()));
	}

	// Returns the call of an attempt in flight. Messages for abandoned attempts find no
	// call and are dropped.
	private Optional<Call> callOf(AttemptId attempt) {
		return this.draft.attempts.get(attempt).toJavaOptional().flatMap(this.draft::call);
	}

	private void started(LinkMessage.Started message) {
		callOf(message.attempt()).ifPresent((call) -> this.draft.put(call.withQueueing(message.queueTime())));
	}

	private void deltaReceived(LinkMessage.Delta message) {
		Optional<Call> call = callOf(message.attempt());
		if (call.isEmpty() || !(call.get().phase() instanceof Call.Phase.Sent sent)) {
			return;
		}
		if (sent.nextSequence() != message.sequence()) {
			// A delta is missing or duplicated, so continuing would corrupt the text sent
			// to the caller.
			this.draft
				.emit(new EntryEffect.Send(sent.sidecar(), new LinkMessage.Cancel(sent.attempt()), this.draft.now));
			this.routes.attemptFailed(call.get(), sent, CallFailure.mayHaveRun(FailureCause.INTERNAL,
					"Part of the streamed answer was lost or duplicated."));
			return;
		}
		this.draft.put(call.get().withText(message.text(), this.draft.now).withPhase(sent.withNextSequence()));
		this.draft.emit(new EntryEffect.Deliver(call.get().ticket(), message.text()));
	}

	private void finished(LinkMessage.Finished message) {
		Optional<Call> call = callOf(message.attempt());
		if (call.isEmpty() || !(call.get().phase() instanceof Call.Phase.Sent sent)) {
			return;
		}
		switch (message.outcome()) {
			case CallOutcome.Completed answered -> new CompletionRules(this.draft).complete(call.get(), answered);
			case CallOutcome.Failed failed -> this.routes.attemptFailed(call.get(), sent, failed.failure());
		}
	}

	/**
	 * Handles a message that was not sent. The attempt counts as not run.
	 * @param event the event
	 */
	void sendRefused(EntryEvent.SendRefused event) {
		if (!(event.message() instanceof LinkMessage.Dispatch dispatch)) {
			return;
		}
		Optional<Call> call = callOf(dispatch.attempt());
		if (call.isPresent() && call.get().phase() instanceof Call.Phase.Sent sent) {
			this.routes.attemptFailed(call.get(), sent,
					CallFailure.notRun(FailureCause.NOT_READY, "The link to the upstream's sidecar is not open."));
		}
	}

}
