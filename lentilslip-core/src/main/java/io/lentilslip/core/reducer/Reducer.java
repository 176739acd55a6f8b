package io.lentilslip.core.reducer;

/**
 * State machine that makes all decisions of a role. It is deterministic: it reads no
 * clock, generates no random numbers and performs no I/O. Time and seeds are passed in
 * events, and actions are returned as effects. Implementations are thread-safe.
 *
 * @param <S> the type of the state, which is immutable
 * @param <E> the type of the events
 * @param <F> the type of the effects
 */
public interface Reducer<S, E, F> {

	/**
	 * Applies an event to a state.
	 * @param state the state before the event
	 * @param event the event
	 * @return the state after the event and the effects to run
	 */
	Step<S, F> apply(S state, E event);

}
