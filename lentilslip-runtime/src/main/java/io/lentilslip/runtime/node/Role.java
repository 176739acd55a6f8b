package io.lentilslip.runtime.node;

import io.lentilslip.core.reducer.Reducer;

/**
 * What makes a process an entry or a sidecar. Immutable and safe for use by several
 * threads.
 *
 * @param <S> the type of the role's state
 * @param <E> the type of the role's events
 * @param <F> the type of the role's effects
 * @param name the word for the role, in notices and names of threads
 * @param reducer the role's decisions
 * @param first the state before the first event
 * @param wrapping what makes events of the role from those that both roles have
 */
public record Role<S, E, F>(String name, Reducer<S, E, F> reducer, S first, EventWrapping<E> wrapping) {

}
