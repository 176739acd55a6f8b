package io.lentilslip.core.placement;

import java.util.Optional;
import java.util.function.UnaryOperator;

import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.placement.Candidate.Availability;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.SortedSet;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;

/**
 * Candidates of one model or service, indexed so that the time of a selection does not
 * grow with their number. Updates take logarithmic time. Only linked candidates can be
 * selected. Immutable and safe for use by several threads.
 */
public final class Candidates {

	/**
	 * No candidates.
	 */
	public static final Candidates NONE = new Candidates(HashMap.empty(), Vector.empty(), HashMap.empty(),
			TreeSet.empty());

	private final Map<VmName, Candidate> byVm;

	private final Vector<VmName> linked;

	private final Map<VmName, Integer> positions;

	private final SortedSet<Utilization> byUtilization;

	private Candidates(Map<VmName, Candidate> all, Vector<VmName> linked, Map<VmName, Integer> positions,
			SortedSet<Utilization> byUtilization) {
		this.byVm = all;
		this.linked = linked;
		this.positions = positions;
		this.byUtilization = byUtilization;
	}

	/**
	 * Returns these candidates with one added or replaced.
	 * @param candidate the candidate
	 * @return the candidates
	 */
	public Candidates with(Candidate candidate) {
		Candidates others = without(candidate.vm());
		Map<VmName, Candidate> changed = others.byVm.put(candidate.vm(), candidate);
		if (candidate.availability() != Availability.LINKED) {
			return new Candidates(changed, others.linked, others.positions, others.byUtilization);
		}
		return new Candidates(changed, others.linked.append(candidate.vm()),
				others.positions.put(candidate.vm(), others.linked.size()),
				others.byUtilization.add(Utilization.of(candidate)));
	}

	/**
	 * Returns these candidates without one.
	 * @param vm the VM of the candidate
	 * @return the candidates
	 */
	public Candidates without(VmName vm) {
		return find(vm).map(this::without).orElse(this);
	}

	// Moves the last linked candidate to the free position, so that no other position
	// changes.
	private Candidates without(Candidate candidate) {
		VmName vm = candidate.vm();
		if (candidate.availability() != Availability.LINKED) {
			return new Candidates(this.byVm.remove(vm), this.linked, this.positions, this.byUtilization);
		}
		int position = this.positions.get(vm).get();
		VmName last = this.linked.last();
		return new Candidates(this.byVm.remove(vm), this.linked.update(position, last).init(),
				this.positions.put(last, position).remove(vm), this.byUtilization.remove(Utilization.of(candidate)));
	}

	/**
	 * Returns these candidates after one of them changed.
	 * @param vm the VM of the candidate
	 * @param change the change, which must not change the VM
	 * @return the candidates, unchanged if there is no such candidate
	 */
	public Candidates changed(VmName vm, UnaryOperator<Candidate> change) {
		return find(vm).map((candidate) -> replaced(candidate, change.apply(candidate))).orElse(this);
	}

	private Candidates replaced(Candidate before, Candidate after) {
		if (before.availability() != Availability.LINKED || after.availability() != Availability.LINKED) {
			return with(after);
		}
		return new Candidates(this.byVm.put(after.vm(), after), this.linked, this.positions,
				this.byUtilization.remove(Utilization.of(before)).add(Utilization.of(after)));
	}

	/**
	 * Returns a candidate of any availability.
	 * @param vm the VM of the candidate
	 * @return the candidate, or an empty result if there is none on the VM
	 */
	public Optional<Candidate> find(VmName vm) {
		return this.byVm.get(vm).toJavaOptional();
	}

	/**
	 * Returns a linked candidate.
	 * @param vm the VM of the candidate
	 * @return the candidate, or an empty result if there is none or it is not linked
	 */
	public Optional<Candidate> findLinked(VmName vm) {
		return find(vm).filter((candidate) -> candidate.availability() == Availability.LINKED);
	}

	/**
	 * Returns the number of linked candidates.
	 * @return the number of candidates
	 */
	public int linkedSize() {
		return this.linked.size();
	}

	/**
	 * Returns a linked candidate by position.
	 * @param position its position, from 0
	 * @return the candidate
	 */
	Candidate linkedAt(int position) {
		return this.byVm.get(this.linked.get(position)).get();
	}

	/**
	 * Returns the linked candidate with the lowest utilization.
	 * @return the candidate, or an empty result if there is none
	 */
	Optional<Candidate> leastUtilized() {
		return this.byUtilization.headOption().toJavaOptional().flatMap((least) -> find(least.vm()));
	}

	/**
	 * Sort key of a candidate by utilization.
	 *
	 * @param value its utilization, as known to this entry
	 * @param vm its VM
	 */
	private record Utilization(double value, VmName vm) implements Comparable<Utilization> {

		private static Utilization of(Candidate candidate) {
			return new Utilization(candidate.utilization(1), candidate.vm());
		}

		@Override
		public int compareTo(Utilization other) {
			int byValue = Double.compare(this.value, other.value);
			return (byValue != 0) ? byValue : this.vm.compareTo(other.vm);
		}

	}

}
