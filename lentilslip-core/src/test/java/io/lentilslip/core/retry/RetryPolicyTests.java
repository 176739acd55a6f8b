package io.lentilslip.core.retry;

import java.time.Duration;
import java.util.List;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.retry.RetryPolicy.FailedAttempts;
import io.lentilslip.core.verdict.Verdict;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RetryPolicyTests {

	private static final Duration LONG = Duration.ofMinutes(1);

	private static final RetryBudget ENOUGH = RetryBudget.of(10, 10);

	// Every call fails, as in an overload. Retries in any window must stay within their
	// percentage of first attempts plus the saved capacity, or they would multiply the
	// load.
	@Property(tries = 200, seed = "1")
	void retriesStayWithinTheirBudget(@ForAll @IntRange(max = 100) int percent,
			@ForAll @IntRange(max = 20) int capacity,
			@ForAll @Size(max = 200) List<@IntRange(max = 3) Integer> requestedRetries) {
		RetryBudget budget = RetryBudget.of(percent, capacity);
		long firstAttempts = 0;
		long retries = 0;
		double lowestExcess = 0;
		for (int requested : requestedRetries) {
			budget = budget.afterFirstAttempt();
			firstAttempts++;
			for (int request = 0; request < requested; request++) {
				if (decide(FailureCause.QUEUE_FULL, Verdict.NOT_RUN, 1, false, LONG,
						budget) instanceof RetryDecision.RetryElsewhere retry) {
					budget = retry.budget();
					retries++;
				}
			}
			double excess = retries - firstAttempts * percent / 100.0;
			assertThat(excess - lowestExcess).isLessThanOrEqualTo(capacity + 1e-9);
			lowestExcess = Math.min(lowestExcess, excess);
		}
	}

	// A call that may have run is not repeatable, so a retry could duplicate its effect.
	// The reported verdict must be kept.
	@Property(seed = "2")
	void neverRetriesAnUnrepeatableCallThatMayHaveRun(@ForAll FailureCause cause, @ForAll Verdict verdict,
			@ForAll boolean repeatable, @ForAll @IntRange(min = 1, max = 4) int count) {
		RetryDecision decision = decide(cause, verdict, count, repeatable, LONG, ENOUGH);
		if (verdict == Verdict.RAN || (verdict == Verdict.MAY_HAVE_RUN && !repeatable)) {
			assertThat(decision).isInstanceOfSatisfying(RetryDecision.GiveUp.class,
					(end) -> assertThat(end.failure().verdict()).isEqualTo(verdict));
		}
	}

	@Test
	void retriesRetryableFailures() {
		assertThat(decide(FailureCause.STOPPING, Verdict.NOT_RUN, 1, false, LONG, ENOUGH))
			.isInstanceOf(RetryDecision.RetryElsewhere.class);
		assertThat(decide(FailureCause.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, 1, true, LONG, ENOUGH))
			.isInstanceOf(RetryDecision.RetryElsewhere.class);
	}

	@Test
	void givesUpWhenARetryIsNotWorthwhile() {
		RetryBudget spent = RetryBudget.of(0, 10);
		assertThat(List.of(decide(FailureCause.INVALID, Verdict.NOT_RUN, 1, true, LONG, ENOUGH),
				decide(FailureCause.STOPPING, Verdict.NOT_RUN, 3, true, LONG, ENOUGH),
				decide(FailureCause.STOPPING, Verdict.NOT_RUN, 1, true, Duration.ofMillis(1), ENOUGH),
				decide(FailureCause.STOPPING, Verdict.NOT_RUN, 1, true, LONG, spent)))
			.allSatisfy((decision) -> assertThat(decision).isInstanceOf(RetryDecision.GiveUp.class));
	}

	private static RetryDecision decide(FailureCause cause, Verdict verdict, int count, boolean repeatable,
			Duration timeLeft, RetryBudget budget) {
		CallFailure failure = CallFailure.notRun(cause, "no response").combineWith(verdict);
		return RetryPolicy.DEFAULT.decide(new FailedAttempts(failure, count, repeatable, timeLeft), budget);
	}

}
