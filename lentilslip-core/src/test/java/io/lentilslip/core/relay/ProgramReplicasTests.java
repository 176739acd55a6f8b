package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ProgramReplicasTests {

	private static final int PROGRAMS = 6000;

	private final ProgramReplicas replicas = new ProgramReplicas();

	@Test
	void programHasNoReplicasWithoutMembers() {
		assertThat(this.replicas.hasMembers()).isFalse();
		assertThat(this.replicas.replicasOf("p")).isEmpty();
	}

	@Test
	void singleRelayReplicatesAllPrograms() {
		this.replicas.update(List.of(Member.of("a")));
		assertThat(this.replicas.replicasOf("p")).containsExactly("a");
	}

	// Relays read the members in different orders. With different replicas, concurrent
	// turns would not be counted for each other.
	@Test
	void replicasDoNotDependOnOrderOfMembers() {
		List<Member> members = members(40, 5);
		ProgramReplicas other = new ProgramReplicas();
		this.replicas.update(members);
		other.update(members.reversed());
		for (int program = 0; program < PROGRAMS; program++) {
			assertThat(this.replicas.replicasOf("p" + program)).isEqualTo(other.replicasOf("p" + program))
				.doesNotHaveDuplicates();
		}
	}

	// The failure of an availability zone leaves each program two replicas.
	@Test
	void replicasOfProgramAreInDifferentZones() {
		this.replicas.update(members(40, 5));
		for (int program = 0; program < PROGRAMS; program++) {
			Set<String> zones = new HashSet<>();
			this.replicas.replicasOf("p" + program).forEach((address) -> zones.add(address.split("/")[0]));
			assertThat(zones).hasSize(ProgramReplicas.REPLICATION_FACTOR);
		}
	}

	@Test
	void siteWithFewZonesStillHasThreeReplicas() {
		this.replicas.update(members(7, 2));
		assertThat(this.replicas.replicasOf("p")).hasSize(ProgramReplicas.REPLICATION_FACTOR);
		this.replicas.update(members(2, 2));
		assertThat(this.replicas.replicasOf("p")).hasSize(2);
	}

	@Test
	void joiningRelayMovesOnlyItsShare() {
		List<Member> members = members(40, 1);
		this.replicas.update(members);
		Map<String, List<String>> before = new HashMap<>();
		for (int program = 0; program < PROGRAMS; program++) {
			before.put("p" + program, this.replicas.replicasOf("p" + program));
		}
		List<Member> extended = new ArrayList<>(members);
		extended.add(new Member("new", "zone-0", 100));
		this.replicas.update(extended);
		int moved = 0;
		for (Map.Entry<String, List<String>> previous : before.entrySet()) {
			List<String> current = this.replicas.replicasOf(previous.getKey());
			if (current.contains("new")) {
				moved++;
				continue;
			}
			assertThat(current).isEqualTo(previous.getValue());
		}
		double share = (double) moved / PROGRAMS;
		assertThat(share).isBetween(0.5 * ProgramReplicas.REPLICATION_FACTOR / 41,
				2.0 * ProgramReplicas.REPLICATION_FACTOR / 41);
	}

	// A small machine with an equal share would spend its processor time on replication.
	@Test
	void relayWithLessProcessorReplicatesFewerPrograms() {
		List<Member> members = new ArrayList<>(members(20, 1));
		members.add(new Member("small", "zone-0", 20));
		this.replicas.update(members);
		Map<String, Integer> programCounts = new HashMap<>();
		for (int program = 0; program < PROGRAMS; program++) {
			this.replicas.replicasOf("p" + program).forEach((address) -> programCounts.merge(address, 1, Integer::sum));
		}
		double mean = (double) (ProgramReplicas.REPLICATION_FACTOR * PROGRAMS) / members.size();
		assertThat((double) programCounts.get("small")).isBetween(0.1 * mean, 0.4 * mean);
		assertThat(programCounts.values()).allSatisfy((count) -> assertThat((double) count).isLessThan(1.4 * mean));
	}

	private static List<Member> members(int count, int zones) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			String zone = "zone-" + i % zones;
			members.add(new Member(zone + "/" + i, zone, 100));
		}
		return members;
	}

}
