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
 * Which relays keep the state of a program: each turn is told to them alone, so that what
 * a relay sends and is sent grows with its own turns and not with the number of relays.
 * All relays that know the same members come to the same keepers without telling each
 * other (rendezvous hashing), and a member that comes or goes moves only the programs
 * that it keeps. Relays with more processor keep more. Used by one thread.
 */
final class ProgramReplicas {

	/**
	 * How many relays keep a program: with three, any two majorities share one, and one
	 * may be lost or late.
	 */
	static final int REPLICATION_FACTOR = 3;

	/**
	 * How many programs' keepers are remembered: those whose turns come now, at a large
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
	 * Takes the members.
	 * @param updated the members
	 * @return whether they are others than before
	 */
	boolean update(List<Member> updated) {
		if (this.members.equals(updated)) {
			return false;
		}
		this.members = List.copyOf(updated);
		this.cache.clear();
		Set<String> known = new HashSet<>();
		updated.forEach((member) -> known.add(member.address()));
		this.addresses = Set.copyOf(known);
		return true;
	}

	/**
	 * Returns whether any members are known.
	 * @return whether they are
	 */
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
	 * Returns the relays that keep a program, in the order in which they step in for each
	 * other. Keepers of one program are in different availability zones as far as there
	 * are enough: a zone that fails takes one of them.
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

	// Exponentially distributed with the weight as its rate: the smallest of several is a
	// member's as often as its part of all weights.
	private static double score(String program, Member member) {
		long seed = ((long) program.hashCode() << Integer.SIZE) ^ member.address().hashCode();
		double uniform = 1 - new SplittableRandom(seed).nextDouble();
		return -Math.log(uniform) / member.weight();
	}

	/**
	 * A member with its score for one program. Immutable.
	 *
	 * @param member the member
	 * @param score the score; the smallest comes first
	 */
	private record Scored(Member member, double score) {

	}

}
