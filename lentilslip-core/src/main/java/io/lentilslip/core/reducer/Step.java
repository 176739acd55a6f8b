package io.lentilslip.core.reducer;

import java.util.List;
import java.util.Objects;

/**
 * Immutable result of applying one event: the new state and the effects to run in order.
 * Thread-safe if the state is.
 *
 * @param <S> the type of the state
 * @param <F> the type of the effects
 * @param state the state after the event
 * @param effects the effects to run in order
 */
public record Step<S, F>(S state, List<F> effects) {

	/**
	 * Creates a step.
	 * @param state the state after the event
	 * @param effects the effects to run in order
	 */
	public Step {
		Objects.requireNonNull(state, "state");
		effects = List.copyOf(effects);
	}

	/**
	 * Returns a step without effects.
	 * @param <S> the type of the state
	 * @param <F> the type of the effects
	 * @param state the state after the event
	 * @return a step without effects
	 */
	public static <S, F> Step<S, F> to(S state) {
		return new Step<>(state, List.of());
	}

}
