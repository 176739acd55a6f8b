package io.lentilslip.standin.engine;

/**
 * What happens to a request in a step of the batching model. Immutable.
 */
public sealed interface ModelEvent {

	/**
	 * Returns the request's number.
	 * @return the number
	 */
	long number();

	/**
	 * The request runs from now on.
	 *
	 * @param number the request's number
	 * @param cachedTokens the prompt tokens that were found in memory
	 */
	record Started(long number, int cachedTokens) implements ModelEvent {

	}

	/**
	 * A token was generated.
	 *
	 * @param number the request's number
	 * @param position the token's position in the whole answer
	 */
	record Generated(long number, int position) implements ModelEvent {

	}

	/**
	 * The request ended with all its tokens generated.
	 *
	 * @param number the request's number
	 */
	record Finished(long number) implements ModelEvent {

	}

}
