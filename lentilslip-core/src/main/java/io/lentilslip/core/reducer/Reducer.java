package io.lentilslip.core.reducer;

/**
 * A function that holds all decisions of a role. It reads no clock, draws no random
 * numbers and does no I/O: time and seeds arrive in events, and what is to be done leaves
 * as effects. The same state and event give the same step. Implementations are safe for
 * use by several threads.
 *
 * @param <S> the type of the state, which is immutable
 * @param <E> the type of the events
 * @param <F> the type of the effects
 */
public interface Reducer<S, E, F> {

	/**
	 * Returns what follows from an event.
	 * @param state the state before the event
	 * @param event the event
	 * @return the state after the event and the effects to run
	 */
	Step<S, F> apply(S state, E event);

}
