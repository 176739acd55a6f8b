package io.lentilslip.core.entry;

import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.configuration.UpstreamPolicy;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.placement.Candidate;
import io.lentilslip.core.placement.Candidate.Availability;
import io.lentilslip.core.placement.Candidate.Load;

/**
 * State of a sidecar as known to an entry. Immutable and safe for use by several threads.
 *
 * @param policy the configuration of its upstream
 * @param process the linked process, if a link is open
 * @param since when the link was last opened or closed
 * @param draining whether the sidecar announced that it is draining
 * @param listedDraining whether the VM list marks its VM as draining
 * @param report the last load report received over this link
 */
record Peer(UpstreamPolicy policy, Optional<ProcessId> process, Instant since, boolean draining, boolean listedDraining,
		Optional<LinkMessage.LoadReport> report) {

	static Peer of(UpstreamPolicy policy, Instant now) {
		return new Peer(policy, Optional.empty(), now, false, false, Optional.empty());
	}

	Peer with(UpstreamPolicy changed) {
		return new Peer(changed, this.process, this.since, this.draining, this.listedDraining, this.report);
	}

	Peer linked(ProcessId sidecar, Instant now) {
		return new Peer(this.policy, Optional.of(sidecar), now, false, this.listedDraining, Optional.empty());
	}

	Peer unlinked(Instant now) {
		Instant from = (this.process.isPresent()) ? now : this.since;
		return new Peer(this.policy, Optional.empty(), from, false, this.listedDraining, Optional.empty());
	}

	Peer withDraining() {
		return new Peer(this.policy, this.process, this.since, true, this.listedDraining, this.report);
	}

	Peer withListedDraining(boolean value) {
		return new Peer(this.policy, this.process, this.since, this.draining, value, this.report);
	}

	Peer withReport(LinkMessage.LoadReport latest) {
		return new Peer(this.policy, this.process, this.since, this.draining, this.listedDraining, Optional.of(latest));
	}

	boolean isLinkedTo(ProcessId sidecar) {
		return this.process.equals(Optional.of(sidecar));
	}

	/**
	 * Returns whether new programs and single calls may be sent. A sidecar reports a
	 * limit of zero while its upstream is down.
	 * @return the availability as known to the entry
	 */
	Availability availability() {
		if (this.process.isEmpty()) {
			return Availability.UNLINKED;
		}
		boolean down = this.report.filter((latest) -> latest.limit() == 0).isPresent();
		return (this.draining || this.listedDraining || down) ? Availability.DRAINING : Availability.LINKED;
	}

	Candidate toCandidate(Instant now) {
		Load load = this.report
			.map((latest) -> new Load(latest.queued(), latest.running(), Math.max(1, latest.limit()), now))
			.orElseGet(() -> new Load(0, 0, Math.max(1, this.policy.maximumCalls()), now));
		return Candidate.linked(this.policy.vm(), this.policy.zone(), load).with(availability());
	}

}
