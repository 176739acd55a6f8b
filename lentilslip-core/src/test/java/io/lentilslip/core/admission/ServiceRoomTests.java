package io.lentilslip.core.admission;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceRoomTests {

	private static final Duration HOLD_TIME = Duration.ofMillis(200);

	@Test
	void nothingWaitsWhilePlacesAreFree() {
		assertThat(new ServiceRoom(10, 10, HOLD_TIME).expectedWait()).isZero();
	}

	@Test
	void waitGrowsWithTheRequestsBeyondThePlaces() {
		assertThat(new ServiceRoom(10, 15, HOLD_TIME).expectedWait()).isEqualTo(Duration.ofMillis(100));
	}

	// Guards against refusing all callers of a service whose upstreams are not known yet.
	@Test
	void serviceWithoutUpstreamsIsNotOverloaded() {
		assertThat(new ServiceRoom(0, 3, HOLD_TIME).expectedWait()).isZero();
	}

}
