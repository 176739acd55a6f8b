package io.lentilslip.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PoisonRequestsTests {

	private final PoisonRequests blames = new PoisonRequests();

	@Test
	void requestIsStoppedAfterThreeLives() {
		this.blames.recordFailure(1, "a");
		this.blames.recordFailure(1, "b");
		assertThat(this.blames.isPoison(1)).isFalse();
		this.blames.recordFailure(1, "c");
		assertThat(this.blames.isPoison(1)).isTrue();
	}

	// One life of an upstream breaks off once; the same news comes over a link and by the
	// log. Counted twice, an innocent request would be stopped.
	@Test
	void oneLifeCountsOnce() {
		for (int i = 0; i < 5; i++) {
			this.blames.recordFailure(1, "a");
		}
		assertThat(this.blames.isPoison(1)).isFalse();
	}

	@Test
	void otherRequestsAreNotStopped() {
		this.blames.recordFailure(1, "a");
		this.blames.recordFailure(1, "b");
		this.blames.recordFailure(1, "c");
		assertThat(this.blames.isPoison(2)).isFalse();
	}

}
