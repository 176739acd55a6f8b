package io.lentilslip.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BlamesTests {

	private final Blames blames = new Blames();

	@Test
	void requestIsStoppedAfterThreeLives() {
		this.blames.add(1, "a");
		this.blames.add(1, "b");
		assertThat(this.blames.stopped(1)).isFalse();
		this.blames.add(1, "c");
		assertThat(this.blames.stopped(1)).isTrue();
	}

	// One life of an upstream breaks off once; the same news comes over a link and by the
	// log. Counted twice, an innocent request would be stopped.
	@Test
	void oneLifeCountsOnce() {
		for (int i = 0; i < 5; i++) {
			this.blames.add(1, "a");
		}
		assertThat(this.blames.stopped(1)).isFalse();
	}

	@Test
	void otherRequestsAreNotStopped() {
		this.blames.add(1, "a");
		this.blames.add(1, "b");
		this.blames.add(1, "c");
		assertThat(this.blames.stopped(2)).isFalse();
	}

}
