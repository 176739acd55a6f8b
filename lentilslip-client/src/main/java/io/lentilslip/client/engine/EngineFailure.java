package io.lentilslip.client.engine;

import java.util.Objects;

import io.lentilslip.core.verdict.Verdict;

/**
 * A call of an engine that brought no whole answer. Immutable and safe for use by several
 * threads.
 *
 * @param verdict whether the request may have run
 * @param cause what failed
 */
public record EngineFailure(Verdict verdict, Cause cause) {

	/**
	 * Creates a failure.
	 * @param verdict whether the request may have run
	 * @param cause what failed
	 */
	public EngineFailure {
		Objects.requireNonNull(verdict, "verdict");
		Objects.requireNonNull(cause, "cause");
	}

	/**
	 * What failed.
	 */
	public sealed interface Cause {

		/**
		 * Nobody listens at the engine's address.
		 *
		 * @param message what failed, for people
		 */
		record Refused(String message) implements Cause {

		}

		/**
		 * The request never left: no connection in time, or too many calls under way.
		 *
		 * @param message what failed, for people
		 */
		record NotReached(String message) implements Cause {

		}

		/**
		 * The connection ended, or the answer broke off or could not be read.
		 *
		 * @param message what failed, for people
		 */
		record Broken(String message) implements Cause {

		}

		/**
		 * The engine was silent for too long after the request was sent.
		 *
		 * @param message what failed, for people
		 */
		record Timeout(String message) implements Cause {

		}

		/**
		 * The engine answered with an error.
		 *
		 * @param status the HTTP status
		 * @param message the engine's words
		 */
		record Rejected(int status, String message) implements Cause {

		}

		/**
		 * The generation was cancelled, on this side or in the engine.
		 */
		record Cancelled() implements Cause {

		}

	}

}
