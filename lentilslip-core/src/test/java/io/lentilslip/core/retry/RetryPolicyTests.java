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

	// Every call fails, as when all upstreams are overloaded. Caller, entry and upstream
	// would each try again and multiply the load that makes the calls fail. Over any
	// window the retries stay under their share of first attempts and what was saved up.
	@Property(tries = 200, seed = "1")
	void retriesStayUnderTheirShare(@ForAll @IntRange(max = 100) int percent, @ForAll @IntRange(max = 20) int bound,
			@ForAll @Size(max = 200) List<@IntRange(max = 3) Integer> wishes) {
		RetryBudget budget = RetryBudget.of(percent, bound);
		long firstAttempts = 0;
		long retries = 0;
		double least = 0;
		for (int wished : wishes) {
			budget = budget.afterFirstAttempt();
			firstAttempts++;
			for (int wish = 0; wish < wished; wish++) {
				if (decide(FailureCause.QUEUE_FULL, Verdict.NOT_RUN, 1, false, LONG,
						budget) instanceof RetryDecision.RetryElsewhere retry) {
					budget = retry.budget();
					retries++;
				}
			}
			double over = retries - firstAttempts * percent / 100.0;
			assertThat(over - least).isLessThanOrEqualTo(bound + 1e-9);
			least = Math.min(least, over);
		}
	}

	// A check-in was sent and its answer is lost. Tried again it would be billed twice,
	// so
	// the caller is told that it may have run, whatever the cause and whatever is left.
	@Property(seed = "2")
	void neverRetriesWhatMayHaveRunAndMayNotBeRepeated(@ForAll FailureCause cause, @ForAll Verdict verdict,
			@ForAll boolean repeatable, @ForAll @IntRange(min = 1, max = 4) int made) {
		RetryDecision decision = decide(cause, verdict, made, repeatable, LONG, ENOUGH);
		if (verdict == Verdict.RAN || (verdict == Verdict.MAY_HAVE_RUN && !repeatable)) {
			assertThat(decision).isInstanceOfSatisfying(RetryDecision.GiveUp.class,
					(end) -> assertThat(end.failure().verdict()).isEqualTo(verdict));
		}
	}

	@Test
	void retriesWhatMaySucceedElsewhere() {
		assertThat(decide(FailureCause.STOPPING, Verdict.NOT_RUN, 1, false, LONG, ENOUGH))
			.isInstanceOf(RetryDecision.RetryElsewhere.class);
		assertThat(decide(FailureCause.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, 1, true, LONG, ENOUGH))
			.isInstanceOf(RetryDecision.RetryElsewhere.class);
	}

	@Test
	void givesUpWhenAnotherAttemptMakesNoSense() {
		RetryBudget spent = RetryBudget.of(0, 10);
		assertThat(List.of(decide(FailureCause.INVALID, Verdict.NOT_RUN, 1, true, LONG, ENOUGH),
				decide(FailureCause.STOPPING, Verdict.NOT_RUN, 3, true, LONG, ENOUGH),
				decide(FailureCause.STOPPING, Verdict.NOT_RUN, 1, true, Duration.ofMillis(1), ENOUGH),
				decide(FailureCause.STOPPING, Verdict.NOT_RUN, 1, true, LONG, spent)))
			.allSatisfy((decision) -> assertThat(decision).isInstanceOf(RetryDecision.GiveUp.class));
	}

	private static RetryDecision decide(FailureCause cause, Verdict verdict, int made, boolean repeatable,
			Duration timeLeft, RetryBudget budget) {
		CallFailure failure = CallFailure.notRun(cause, "no answer").combineWith(verdict);
		return RetryPolicy.DEFAULT.decide(new FailedAttempts(failure, made, repeatable, timeLeft), budget);
	}

}
