package io.lentilslip.core.relay;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UsagePollTests {

	private final UsagePoll poll = new UsagePoll(1, "t", List.of("a", "b", "c"));

	@Test
	void twoKeepersOfThreeDecideByTheMostThatIsTaken() {
		this.poll.addUsage("a", 300, 0);
		assertThat(this.poll.hasReplicaQuorum()).isFalse();
		this.poll.addUsage("c", 100, 0);
		assertThat(this.poll.hasReplicaQuorum()).isTrue();
		assertThat(this.poll.used()).isEqualTo(300);
	}

	// A link is made anew, and the question of before is answered as well. Counted twice,
	// one
	// keeper would be a majority, and two turns could each have one without seeing the
	// other.
	@Test
	void relayCountsOnce() {
		this.poll.addUsage("a", 300, 0);
		this.poll.addUsage("a", 300, 0);
		assertThat(this.poll.hasReplicaQuorum()).isFalse();
	}

	@Test
	void twoUnsureKeepersLeaveTheDecisionToOthers() {
		this.poll.unavailable();
		assertThat(this.poll.replicaQuorumLost()).isFalse();
		assertThat(this.poll.coversReplicaDecisions()).isFalse();
		this.poll.unavailable();
		assertThat(this.poll.replicaQuorumLost()).isTrue();
		assertThat(this.poll.coversReplicaDecisions()).isTrue();
	}

	// Three turns of one moment are each seen by two replicas in another order, so that
	// each counts one of the others.
	@Test
	void twoReplicasLeaveHalfOfWhatTheyCountUnseen() {
		this.poll.addUsage("a", 200, 200);
		this.poll.addUsage("c", 100, 100);
		assertThat(this.poll.maxUnseen(100)).isEqualTo(100);
		assertThat(this.poll.awaitsReplicas()).isTrue();
		this.poll.addUsage("b", 300, 300);
		assertThat(this.poll.maxUnseen(100)).isZero();
		assertThat(this.poll.awaitsReplicas()).isFalse();
	}

	@Test
	void turnThatTwoReplicasSeeAloneLeavesNothingUnseen() {
		this.poll.addUsage("a", 100, 100);
		this.poll.addUsage("b", 100, 100);
		assertThat(this.poll.maxUnseen(100)).isZero();
	}

	// Half of the relays answer and none of them keeps the program. What its keepers
	// decided
	// before is known to none of these.
	@Test
	void majorityOfAllNeedsAKeeper() {
		this.poll.waitForAllRelays("own");
		this.poll.addUsage("x", 100, 0);
		this.poll.addUsage("y", 100, 0);
		assertThat(this.poll.hasRelayMajority(4)).isFalse();
		this.poll.addUsage("b", 100, 0);
		assertThat(this.poll.hasRelayMajority(4)).isTrue();
	}

	@Test
	void answersOfBeforeDoNotCountWhenAllAreAsked() {
		this.poll.addUsage("a", 300, 0);
		this.poll.addUsage("b", 100, 0);
		this.poll.waitForAllRelays("a");
		assertThat(this.poll.hasRelayMajority(4)).isFalse();
		assertThat(this.poll.used()).isEqualTo(300);
	}

	@Test
	void onlyTheLastReminderCounts() {
		this.poll.timerStarted();
		this.poll.timerStarted();
		assertThat(this.poll.timerFired()).isFalse();
		assertThat(this.poll.timerFired()).isTrue();
	}

	@Test
	void relaysThatReachTheLogAreAskedOneAfterTheOther() {
		assertThat(this.poll.logReachable()).isFalse();
		this.poll.addLogRelay("x");
		this.poll.addLogRelay("y");
		assertThat(this.poll.nextLogRelay()).contains("x");
		assertThat(this.poll.nextLogRelay()).contains("y");
		assertThat(this.poll.nextLogRelay()).isEmpty();
		assertThat(this.poll.logReachable()).isTrue();
	}

}
