package io.lentilslip.client.weight;

import java.time.Duration;
import java.util.Optional;

/**
 * How a request to the weight store ended. Implementations are immutable and safe for use
 * by several threads.
 *
 * @param <T> the type of what was asked for
 */
public sealed interface WeightOutcome<T> {

	/**
	 * The store gave what was asked for.
	 *
	 * @param value what was asked for
	 * @param <T> the type of what was asked for
	 */
	record Found<T>(T value) implements WeightOutcome<T> {

	}

	/**
	 * The store has no such version.
	 *
	 * @param <T> the type of what was asked for
	 */
	record NotFound<T>() implements WeightOutcome<T> {

	}

	/**
	 * The store takes no more requests for now.
	 *
	 * @param retryAfter when to ask again, if the store said so
	 * @param <T> the type of what was asked for
	 */
	record RateLimited<T>(Optional<Duration> retryAfter) implements WeightOutcome<T> {

	}

	/**
	 * The store could not be asked.
	 *
	 * @param reason what happened, for people
	 * @param <T> the type of what was asked for
	 */
	record Unavailable<T>(String reason) implements WeightOutcome<T> {

	}

}
