package io.lentilslip.core.placement;

import java.time.Instant;
import java.util.Objects;

import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;

/**
 * An upstream that work can be given to, as one entry knows it. Its reported load is
 * always old; the entry's own calls since then correct it. Immutable and safe for use by
 * several threads.
 *
 * @param vm the VM of the upstream
 * @param zone the availability zone of the VM
 * @param availability whether it may be given work
 * @param load the load it reported last
 * @param sentSinceReport the calls that this entry sent since the report and that have
 * not ended
 */
public record Candidate(VmName vm, ZoneName zone, Availability availability, Load load, int sentSinceReport) {

	/**
	 * Creates a candidate.
	 * @param vm the VM of the upstream
	 * @param zone the availability zone of the VM
	 * @param availability whether it may be given work
	 * @param load the load it reported last
	 * @param sentSinceReport the calls that this entry sent since the report and that
	 * have not ended
	 */
	public Candidate {
		Objects.requireNonNull(vm, "vm");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(availability, "availability");
		Objects.requireNonNull(load, "load");
	}

	/**
	 * Returns a candidate that has a link and has been sent nothing since its report.
	 * @param vm the VM of the upstream
	 * @param zone the availability zone of the VM
	 * @param load the load it reported
	 * @return the candidate
	 */
	public static Candidate linked(VmName vm, ZoneName zone, Load load) {
		return new Candidate(vm, zone, Availability.LINKED, load, 0);
	}

	/**
	 * Returns this candidate with another availability.
	 * @param changed whether it may be given work
	 * @return the candidate
	 */
	public Candidate with(Availability changed) {
		return new Candidate(this.vm, this.zone, changed, this.load, this.sentSinceReport);
	}

	/**
	 * Returns this candidate after it reported its load. A report counts the calls that
	 * were sent before; those still on their way are too few to matter.
	 * @param withLoad the load it reported
	 * @return the candidate
	 */
	public Candidate withLoad(Load reported) {
		return new Candidate(this.vm, this.zone, this.availability, reported, 0);
	}

	/**
	 * Returns this candidate after a call was sent to it.
	 * @return the candidate
	 */
	public Candidate callSent() {
		return new Candidate(this.vm, this.zone, this.availability, this.load, this.sentSinceReport + 1);
	}

	/**
	 * Returns this candidate after a call that this entry had sent to it ended.
	 * @return the candidate
	 */
	public Candidate callEnded() {
		if (this.sentSinceReport > 0) {
			return new Candidate(this.vm, this.zone, this.availability, this.load, this.sentSinceReport - 1);
		}
		return new Candidate(this.vm, this.zone, this.availability, this.load.withoutOneCall(), 0);
	}

	/**
	 * Returns the calls at this upstream for each call that it takes at once.
	 * @param entryCount the entries that send calls by the same reports: each is taken to
	 * have sent as much as this one
	 * @return the utilization: above one, calls wait
	 */
	public double utilization(int entryCount) {
		return (double) (this.load.calls() + (long) this.sentSinceReport * entryCount) / this.load.limit();
	}

	/**
	 * Whether an upstream may be given work. Safe for use by several threads.
	 */
	public enum Availability {

		/**
		 * It can be reached and takes work.
		 */
		LINKED,

		/**
		 * It leaves and takes no new work.
		 */
		LEAVING,

		/**
		 * It cannot be reached.
		 */
		UNLINKED

	}

	/**
	 * The load that an upstream reported. Immutable and safe for use by several threads.
	 *
	 * @param queued the calls waiting
	 * @param running the calls running
	 * @param limit the most calls running at once
	 * @param reportedAt when the report came
	 */
	public record Load(int queued, int running, int limit, Instant reportedAt) {

		/**
		 * Creates a load.
		 * @param queued the calls waiting
		 * @param running the calls running
		 * @param limit the most calls running at once
		 * @param reportedAt when the report came
		 * @throws IllegalArgumentException if a number is negative or the limit not
		 * positive
		 */
		public Load {
			Objects.requireNonNull(reportedAt, "reportedAt");
			if (queued < 0 || running < 0 || limit < 1) {
				throw new IllegalArgumentException("no load: " + queued + ", " + running + ", " + limit);
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
