package io.lentilslip.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UnansweredAttemptsTests {

	private static final UnansweredAttempts.Suspicion SILENT = new UnansweredAttempts.Suspicion(0, Long.MAX_VALUE,
			false);

	private final UnansweredAttempts attempts = new UnansweredAttempts();

	@Test
	void attemptsAreReturnedOnceForTheirIncarnation() {
		this.attempts.add(failure("r1", "u1"), SILENT);
		this.attempts.add(failure("r2", "u2"), SILENT);
		assertThat(this.attempts.incarnationEnded("u1", 0)).containsExactly(failure("r1", "u1"));
		assertThat(this.attempts.incarnationEnded("u1", 0)).isEmpty();
		assertThat(this.attempts.incarnationEnded("u2", 0)).containsExactly(failure("r2", "u2"));
	}

	@Test
	void responseClearsEarlierAttemptsOfItsIncarnation() {
		this.attempts.add(failure("r1", "u1"), SILENT);
		this.attempts.add(failure("r2", "u2"), SILENT);
		this.attempts.responded("u1", 0);
		assertThat(this.attempts.incarnationEnded("u1", 0)).isEmpty();
		assertThat(this.attempts.incarnationEnded("u2", 0)).hasSize(1);
	}

	// Guards against clearing a poison request by bytes that its upstream sent before it
	// ended.
	@Test
	void responseToAnEarlierRequestDoesNotClearABrokenAttempt() {
		this.attempts.add(failure("r1", "u"), new UnansweredAttempts.Suspicion(100, 200, true));
		this.attempts.responded("u", 99);
		assertThat(this.attempts.contains("u")).isTrue();
		this.attempts.responded("u", 101);
		assertThat(this.attempts.incarnationEnded("u", 150)).isEmpty();
	}

	// Guards against counting a reset for an upstream that ends much later.
	@Test
	void brokenAttemptExpires() {
		this.attempts.add(failure("r1", "u"), new UnansweredAttempts.Suspicion(100, 200, true));
		assertThat(this.attempts.incarnationEnded("u", 201)).isEmpty();
	}

	@Test
	void oldestIncarnationsAreEvictedFirst() {
		for (int i = 0; i < 8_192; i++) {
			this.attempts.add(failure("r", "u" + i / 4), SILENT);
		}
		assertThat(this.attempts.incarnationEnded("u0", 0)).hasSize(4);
		for (int i = 0; i < 5; i++) {
			this.attempts.add(failure("r", "last"), SILENT);
		}
		assertThat(this.attempts.incarnationEnded("u1", 0)).isEmpty();
		assertThat(this.attempts.incarnationEnded("u2", 0)).hasSize(4);
		assertThat(this.attempts.incarnationEnded("last", 0)).hasSize(5);
	}

	@Test
	void attemptsOfOneIncarnationAreBounded() {
		for (int i = 0; i < 20_000; i++) {
			this.attempts.add(failure("r" + i, "u"), SILENT);
		}
		assertThat(this.attempts.incarnationEnded("u", 0)).hasSizeLessThanOrEqualTo(8_192);
	}

	private static LedgerEntry.UpstreamFailed failure(String request, String incarnation) {
		return new LedgerEntry.UpstreamFailed(request, 1, incarnation);
	}

}
