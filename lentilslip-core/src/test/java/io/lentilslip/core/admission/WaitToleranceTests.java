package io.lentilslip.core.admission;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WaitToleranceTests {

	private final WaitTolerance tolerance = new WaitTolerance(Duration.ofMillis(10), Duration.ofMillis(110));

	@Test
	void allProgramsAreAdmittedAtAWaitThatCallersDoNotNotice() {
		assertThat(this.tolerance.admittedFraction(Duration.ofMillis(10), 0, 100)).isEqualTo(1);
	}

	@Test
	void rateOfAdmissionIsKeptAtTheMiddleOfTheRange() {
		assertThat(this.tolerance.admittedFraction(Duration.ofMillis(60), 20, 80)).isEqualTo(0.25);
	}

	@Test
	void rateOfAdmissionFallsAtLongerWaitsAndRisesAtShorterOnes() {
		assertThat(this.tolerance.admittedFraction(Duration.ofMillis(100), 20, 40)).isBetween(0.3, 0.49);
		assertThat(this.tolerance.admittedFraction(Duration.ofMillis(20), 20, 40)).isGreaterThan(0.5);
	}

	// Guards against refusing callers because of the wait that a past burst has left.
	@Test
	void allProgramsAreAdmittedOnceFewerArriveThanWereAdmitted() {
		assertThat(this.tolerance.admittedFraction(Duration.ofMillis(60), 20, 15)).isEqualTo(1);
	}

	// Guards against a relay that admits nothing for good after its start.
	@Test
	void relayWithoutHistoryAdmitsAFractionWithinTheRange() {
		assertThat(this.tolerance.admittedFraction(Duration.ofMillis(60), 0, 50)).isEqualTo(0.25);
		assertThat(this.tolerance.admittedFraction(Duration.ofMillis(200), 0, 50)).isZero();
	}

}
