package io.lentilslip.core.entry;

import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.measurement.Measurement.CallRefused.Reason;

/**
 * Maps failure causes to the reasons counted in metrics. Safe for use by several threads.
 */
final class Refusals {

	private Refusals() {
	}

	/**
	 * Returns the metric reason of a cause.
	 * @param cause the cause
	 * @return the reason
	 */
	static Reason reasonOf(FailureCause cause) {
		return switch (cause) {
			case UNAUTHORIZED, FORBIDDEN -> Reason.UNAUTHORIZED;
			case INVALID, LIMIT_REACHED, INTERNAL -> Reason.MALFORMED;
			case NOT_FOUND -> Reason.UNKNOWN_TARGET;
			case HISTORY_MISMATCH -> Reason.HISTORY_MISMATCH;
			case OUT_OF_ORDER -> Reason.OUT_OF_ORDER;
			case KEY_REUSED -> Reason.KEY_REUSED;
			case PROGRAM_ENDED -> Reason.PROGRAM_ENDED;
			case TOO_LARGE -> Reason.TOO_LARGE;
			case CRASHES_UPSTREAMS -> Reason.STOPPED_AFTER_CRASHES;
			case BUDGET_EXHAUSTED -> Reason.BUDGET_EXHAUSTED;
			case QUEUE_FULL -> Reason.QUEUE_FULL;
			case DEADLINE_PASSED -> Reason.DEADLINE;
			case STOPPING -> Reason.DRAINING;
			case NOT_READY -> Reason.NOT_CONFIGURED;
			case NO_UPSTREAM, MOVED, UPSTREAM_FAILED, CANCELLED -> Reason.NO_UPSTREAM;
			case LOG_UNAVAILABLE -> Reason.LOG_UNAVAILABLE;
			case OUTCOME_UNKNOWN -> Reason.OUTCOME_UNKNOWN;
		};
	}

}
