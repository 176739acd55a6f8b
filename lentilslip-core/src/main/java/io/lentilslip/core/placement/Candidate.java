package io.lentilslip.core.placement;

import java.time.Instant;
import java.util.Objects;

import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;

/**
 * Upstream considered for placement, as known to one entry. The reported load is stale,
 * so it is corrected by the calls that this entry has sent since the report. Immutable
 * and safe for use by several threads.
 *
 * @param vm the VM of the upstream
 * @param zone the availability zone of the VM
 * @param availability whether it accepts new work
 * @param load the last reported load
 * @param sentSinceReport the calls in flight that this entry has sent since the report
 */
public record Candidate(VmName vm, ZoneName zone, Availability availability, Load load, int sentSinceReport) {

	/**
	 * Creates a candidate.
	 * @param vm the VM of the upstream
	 * @param zone the availability zone of the VM
	 * @param availability whether it accepts new work
	 * @param load the last reported load
	 * @param sentSinceReport the calls in flight that this entry has sent since the
	 * report
	 */
	public Candidate {
		Objects.requireNonNull(vm, "vm");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(availability, "availability");
		Objects.requireNonNull(load, "load");
	}

	/**
	 * Returns a linked candidate to which no calls were sent since its report.
	 * @param vm the VM of the upstream
	 * @param zone the availability zone of the VM
	 * @param load the reported load
	 * @return the candidate
	 */
	public static Candidate linked(VmName vm, ZoneName zone, Load load) {
		return new Candidate(vm, zone, Availability.LINKED, load, 0);
	}

	/**
	 * Returns this candidate with a changed availability.
	 * @param changed the new availability
	 * @return the candidate
	 */
	public Candidate with(Availability changed) {
		return new Candidate(this.vm, this.zone, changed, this.load, this.sentSinceReport);
	}

	/**
	 * Returns this candidate with a new load report. The report counts calls sent
	 * earlier; calls still on the way to the upstream are ignored.
	 * @param reported the new report
	 * @return the candidate
	 */
	public Candidate withLoad(Load reported) {
		return new Candidate(this.vm, this.zone, this.availability, reported, 0);
	}

	/**
	 * Returns this candidate after this entry sent a call to it.
	 * @return the candidate
	 */
	public Candidate callSent() {
		return new Candidate(this.vm, this.zone, this.availability, this.load, this.sentSinceReport + 1);
	}

	/**
	 * Returns this candidate after a call sent by this entry ended.
	 * @return the candidate
	 */
	public Candidate callEnded() {
		if (this.sentSinceReport > 0) {
			return new Candidate(this.vm, this.zone, this.availability, this.load, this.sentSinceReport - 1);
		}
		return new Candidate(this.vm, this.zone, this.availability, this.load.withoutOneCall(), 0);
	}

	/**
	 * Returns the estimated ratio of calls to the concurrency limit.
	 * @param entryCount the number of entries that place calls by the same reports, each
	 * assumed to have sent as many calls as this one
	 * @return the utilization; calls are queued if it is above one
	 */
	public double utilization(int entryCount) {
		return (double) (this.load.calls() + (long) this.sentSinceReport * entryCount) / this.load.limit();
	}

	/**
	 * Availability of an upstream for new work. Safe for use by several threads.
	 */
	public enum Availability {

		/**
		 * It is linked and accepts new work.
		 */
		LINKED,

		/**
		 * It is draining and accepts no new work.
		 */
		DRAINING,

		/**
		 * It is unreachable.
		 */
		UNLINKED

	}

	/**
	 * Load reported by an upstream. Immutable and safe for use by several threads.
	 *
	 * @param queued the number of queued calls
	 * @param running the number of running calls
	 * @param limit the concurrency limit
	 * @param reportedAt when the report was received
	 */
	public record Load(int queued, int running, int limit, Instant reportedAt) {

		/**
		 * Creates a load.
		 * @param queued the number of queued calls
		 * @param running the number of running calls
		 * @param limit the concurrency limit
		 * @param reportedAt when the report was received
		 * @throws IllegalArgumentException if a count is negative or the limit is not
		 * positive
		 */
		public Load {
			Objects.requireNonNull(reportedAt, "reportedAt");
			if (queued < 0 || running < 0 || limit < 1) {
				throw new IllegalArgumentException("load requires non-negative counts and a positive limit, not queued="
						+ queued + ", running=" + running + ", limit=" + limit);
			}
		}

		private int calls() {
			return this.queued + this.running;
		}

		private Load withoutOneCall() {
			if (this.queued > 0) {
				return new Load(this.queued - 1, this.running, this.limit, this.reportedAt);
			}
			return new Load(0, Math.max(0, this.running - 1), this.limit, this.reportedAt);
		}

	}

}
