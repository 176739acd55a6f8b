package io.lentilslip.core.relay;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PollTests {

	private final Poll poll = new Poll(1, "t", List.of("a", "b", "c"));

	@Test
	void twoKeepersOfThreeDecideByTheMostThatIsTaken() {
		this.poll.answered("a", 300, 0);
		assertThat(this.poll.keepersDecide()).isFalse();
		this.poll.answered("c", 100, 0);
		assertThat(this.poll.keepersDecide()).isTrue();
		assertThat(this.poll.taken()).isEqualTo(300);
	}

	// A link is made anew, and the question of before is answered as well. Counted twice,
	// one
	// keeper would be a majority, and two turns could each have one without seeing the
	// other.
	@Test
	void relayCountsOnce() {
		this.poll.answered("a", 300, 0);
		this.poll.answered("a", 300, 0);
		assertThat(this.poll.keepersDecide()).isFalse();
	}

	@Test
	void twoUnsureKeepersLeaveTheDecisionToOthers() {
		this.poll.unsure();
		assertThat(this.poll.keepersCannotDecide()).isFalse();
		assertThat(this.poll.seesKeepers()).isFalse();
		this.poll.unsure();
		assertThat(this.poll.keepersCannotDecide()).isTrue();
		assertThat(this.poll.seesKeepers()).isTrue();
	}

	// Three turns of one moment are each seen by two replicas in another order, so that
	// each counts one of the others.
	@Test
	void twoReplicasLeaveHalfOfWhatTheyCountUnseen() {
		this.poll.answered("a", 200, 200);
		this.poll.answered("c", 100, 100);
		assertThat(this.poll.unseen(100)).isEqualTo(100);
		assertThat(this.poll.waitsForMoreReplicas()).isTrue();
		this.poll.answered("b", 300, 300);
		assertThat(this.poll.unseen(100)).isZero();
		assertThat(this.poll.waitsForMoreReplicas()).isFalse();
	}

	@Test
	void turnThatTwoReplicasSeeAloneLeavesNothingUnseen() {
		this.poll.answered("a", 100, 100);
		this.poll.answered("b", 100, 100);
		assertThat(this.poll.unseen(100)).isZero();
	}

	// Half of the relays answer and none of them keeps the program. What its keepers
	// decided
	// before is known to none of these.
	@Test
	void majorityOfAllNeedsAKeeper() {
		this.poll.askAll("own");
		this.poll.answered("x", 100, 0);
		this.poll.answered("y", 100, 0);
		assertThat(this.poll.allDecide(4)).isFalse();
		this.poll.answered("b", 100, 0);
		assertThat(this.poll.allDecide(4)).isTrue();
	}

	@Test
	void answersOfBeforeDoNotCountWhenAllAreAsked() {
		this.poll.answered("a", 300, 0);
		this.poll.answered("b", 100, 0);
		this.poll.askAll("a");
		assertThat(this.poll.allDecide(4)).isFalse();
		assertThat(this.poll.taken()).isEqualTo(300);
	}

	@Test
	void onlyTheLastReminderCounts() {
		this.poll.remind();
		this.poll.remind();
		assertThat(this.poll.lastReminder()).isFalse();
		assertThat(this.poll.lastReminder()).isTrue();
	}

	@Test
	void relaysThatReachTheLogAreAskedOneAfterTheOther() {
		assertThat(this.poll.log()).isFalse();
		this.poll.reachesLog("x");
		this.poll.reachesLog("y");
		assertThat(this.poll.nextPlacer()).contains("x");
		assertThat(this.poll.nextPlacer()).contains("y");
		assertThat(this.poll.nextPlacer()).isEmpty();
		assertThat(this.poll.log()).isTrue();
	}

}
