package io.lentilslip.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UnansweredAttemptsTests {

	private final UnansweredAttempts attempts = new UnansweredAttempts();

	@Test
	void attemptsAreReturnedOnceForTheirIncarnation() {
		this.attempts.add(failure("r1", "u1"));
		this.attempts.add(failure("r2", "u2"));
		assertThat(this.attempts.incarnationEnded("u1")).containsExactly(failure("r1", "u1"));
		assertThat(this.attempts.incarnationEnded("u1")).isEmpty();
		assertThat(this.attempts.incarnationEnded("u2")).containsExactly(failure("r2", "u2"));
	}

	@Test
	void responseClearsEarlierAttemptsOfItsIncarnation() {
		this.attempts.add(failure("r1", "u1"));
		this.attempts.add(failure("r2", "u2"));
		this.attempts.responded("u1");
		assertThat(this.attempts.incarnationEnded("u1")).isEmpty();
		assertThat(this.attempts.incarnationEnded("u2")).hasSize(1);
	}

	@Test
	void memoryIsBounded() {
		for (int i = 0; i < 1_000; i++) {
			this.attempts.add(failure("r" + i, "u"));
		}
		assertThat(this.attempts.incarnationEnded("u")).hasSize(256);
		for (int i = 0; i < 5_000; i++) {
			this.attempts.add(failure("r", "u" + i));
		}
		assertThat(this.attempts.incarnationEnded("u0")).isEmpty();
		assertThat(this.attempts.incarnationEnded("u4999")).hasSize(1);
	}

	private static LedgerEntry.UpstreamFailed failure(String request, String incarnation) {
		return new LedgerEntry.UpstreamFailed(request, 1, incarnation);
	}

}
