package io.lentilslip.core.relay;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UsagePollTests {

	private final UsagePoll poll = new UsagePoll(1, RunId.unnumbered("t"), List.of("a", "b", "c"));

	@Test
	void twoReplicasOfThreeDecideByHighestUsage() {
		this.poll.addUsage("a", 300, 0);
		assertThat(this.poll.hasReplicaQuorum()).isFalse();
		this.poll.addUsage("c", 100, 0);
		assertThat(this.poll.hasReplicaQuorum()).isTrue();
		assertThat(this.poll.used()).isEqualTo(300);
	}

	// A request is answered twice if a connection is replaced. Counted twice, one replica
	// would be a majority, and two concurrent turns might not count each other.
	@Test
	void relayIsCountedOnce() {
		this.poll.addUsage("a", 300, 0);
		this.poll.addUsage("a", 300, 0);
		assertThat(this.poll.hasReplicaQuorum()).isFalse();
	}

	@Test
	void twoUnavailableReplicasLoseTheQuorum() {
		this.poll.unavailable();
		assertThat(this.poll.replicaQuorumLost()).isFalse();
		assertThat(this.poll.coversReplicaDecisions()).isFalse();
		this.poll.unavailable();
		assertThat(this.poll.replicaQuorumLost()).isTrue();
		assertThat(this.poll.coversReplicaDecisions()).isTrue();
	}

	// Replicas may receive three concurrent turns in different orders, so that each turn
	// is counted for only one of the others.
	@Test
	void twoReplicasLeaveHalfOfUncommittedUsageUncounted() {
		this.poll.addUsage("a", 200, 200);
		this.poll.addUsage("c", 100, 100);
		assertThat(this.poll.maxUncounted(100)).isEqualTo(100);
		assertThat(this.poll.awaitsReplicas()).isTrue();
		this.poll.addUsage("b", 300, 300);
		assertThat(this.poll.maxUncounted(100)).isZero();
		assertThat(this.poll.awaitsReplicas()).isFalse();
	}

	@Test
	void onlyUncommittedTurnLeavesNothingUncounted() {
		this.poll.addUsage("a", 100, 100);
		this.poll.addUsage("b", 100, 100);
		assertThat(this.poll.maxUncounted(100)).isZero();
	}

	// A majority without a replica doesn't know the earlier decisions of the replicas.
	@Test
	void majorityOfRelaysRequiresReplica() {
		this.poll.waitForAllRelays("self");
		this.poll.addUsage("x", 100, 0);
		this.poll.addUsage("y", 100, 0);
		assertThat(this.poll.hasRelayMajority(4)).isFalse();
		this.poll.addUsage("b", 100, 0);
		assertThat(this.poll.hasRelayMajority(4)).isTrue();
	}

	@Test
	void earlierRepliesDoNotCountTowardsMajority() {
		this.poll.addUsage("a", 300, 0);
		this.poll.addUsage("b", 100, 0);
		this.poll.waitForAllRelays("a");
		assertThat(this.poll.hasRelayMajority(4)).isFalse();
		assertThat(this.poll.used()).isEqualTo(300);
	}

	@Test
	void onlyLastTimerCounts() {
		this.poll.timerStarted();
		this.poll.timerStarted();
		assertThat(this.poll.timerFired()).isFalse();
		assertThat(this.poll.timerFired()).isTrue();
	}

	@Test
	void relaysThatReachTheLogAreReturnedInOrder() {
		assertThat(this.poll.logReachable()).isFalse();
		this.poll.addLogRelay("x");
		this.poll.addLogRelay("y");
		assertThat(this.poll.nextLogRelay()).contains("x");
		assertThat(this.poll.nextLogRelay()).contains("y");
		assertThat(this.poll.nextLogRelay()).isEmpty();
		assertThat(this.poll.logReachable()).isTrue();
	}

}
