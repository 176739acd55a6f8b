package io.lentilslip.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PoisonRequestsTests {

	private final PoisonRequests poisonRequests = new PoisonRequests();

	@Test
	void requestIsPoisonAfterThreeFailedIncarnations() {
		this.poisonRequests.recordFailure(1, "a");
		this.poisonRequests.recordFailure(1, "b");
		assertThat(this.poisonRequests.isPoison(1)).isFalse();
		this.poisonRequests.recordFailure(1, "c");
		assertThat(this.poisonRequests.isPoison(1)).isTrue();
	}

	// The failure of one incarnation is reported by a peer and by the log. Counting it
	// twice would block a harmless request.
	@Test
	void incarnationCountsOnce() {
		for (int i = 0; i < 5; i++) {
			this.poisonRequests.recordFailure(1, "a");
		}
		assertThat(this.poisonRequests.isPoison(1)).isFalse();
	}

	@Test
	void otherRequestsAreNotPoison() {
		this.poisonRequests.recordFailure(1, "a");
		this.poisonRequests.recordFailure(1, "b");
		this.poisonRequests.recordFailure(1, "c");
		assertThat(this.poisonRequests.isPoison(2)).isFalse();
	}

}
