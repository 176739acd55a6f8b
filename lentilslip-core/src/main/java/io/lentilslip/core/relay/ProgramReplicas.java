package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Assignment of programs to the relays that replicate their state. A relay replicates a
 * turn to these only, so its traffic grows with the turns that it serves and not with the
 * number of relays. The assignment is rendezvous hashing, weighted by processor share:
 * relays with equal member lists compute equal assignments, and a member that joins or
 * leaves moves only the programs assigned to it. Used by one thread.
 */
final class ProgramReplicas {

	/**
	 * Number of replicas of a program. With three, any two majorities intersect, and one
	 * replica may be lost or slow.
	 */
	static final int REPLICATION_FACTOR = 3;

	/**
	 * Number of programs whose replicas are cached: those with current turns at a large
	 * site.
	 */
	private static final int CACHE_SIZE = 4096;

	private final Map<String, List<String>> cache = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, List<String>> eldest) {
			return size() > CACHE_SIZE;
		}
	};

	private List<Member> members = List.of();

	private Set<String> addresses = Set.of();

	/**
	 * Replaces the members.
	 * @param updated the members
	 * @return whether they differ from the previous ones
	 */
	boolean update(List<Member> updated) {
		if (this.members.equals(updated)) {
			return false;
		}
		this.members = List.copyOf(updated);
		this.cache.clear();
		Set<String> updatedAddresses = new HashSet<>();
		updated.forEach((member) -> updatedAddresses.add(member.address()));
		this.addresses = Set.copyOf(updatedAddresses);
		return true;
	}

	boolean hasMembers() {
		return !this.members.isEmpty();
	}

	Set<String> addresses() {
		return this.addresses;
	}

	/**
	 * Returns whether a relay is a member.
	 * @param address its address
	 * @return whether it is
	 */
	boolean contains(String address) {
		return this.addresses.contains(address);
	}

	/**
	 * Returns the replicas of a program by descending priority. They are in different
	 * availability zones if there are enough, so the failure of a zone affects one of
	 * them.
	 * @param program the program
	 * @return the addresses; empty while no members are known
	 */
	List<String> replicasOf(String program) {
		return this.cache.computeIfAbsent(program, this::selectReplicas);
	}

	private List<String> selectReplicas(String program) {
		List<Scored> ranked = new ArrayList<>(this.members.size());
		for (Member member : this.members) {
			ranked.add(new Scored(member, score(program, member)));
		}
		ranked.sort(Comparator.comparingDouble(Scored::score).thenComparing((scored) -> scored.member().address()));
		List<String> selected = new ArrayList<>(REPLICATION_FACTOR);
		Set<String> zones = new HashSet<>();
		for (Scored next : ranked) {
			if (selected.size() < REPLICATION_FACTOR && zones.add(next.member().zone())) {
				selected.add(next.member().address());
			}
		}
		for (Scored next : ranked) {
			if (selected.size() < REPLICATION_FACTOR && !selected.contains(next.member().address())) {
				selected.add(next.member().address());
			}
		}
		return selected;
	}

	// An exponential variate with the weight as its rate: a member has the smallest score
	// with a probability of its share of all weights.
	private static double score(String program, Member member) {
		long seed = ((long) program.hashCode() << Integer.SIZE) ^ member.address().hashCode();
		double uniform = 1 - new SplittableRandom(seed).nextDouble();
		return -Math.log(uniform) / member.weight();
	}

	/**
	 * A member with its score for a program. Immutable.
	 *
	 * @param member the member
	 * @param score the score; the smallest ranks first
	 */
	private record Scored(Member member, double score) {

	}

}
