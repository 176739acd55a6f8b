package io.lentilslip.runtime.loop;

/**
 * Runs the effects that a reducer returns. It is called by the thread of one
 * {@link ReducerLoop} alone, in the order of the effects, and must not block: a runner
 * that waits for the network holds up every decision of the process. What an effect leads
 * to is posted to the loop as an event.
 *
 * @param <F> the type of the effects
 */
@FunctionalInterface
public interface EffectRunner<F> {

	/**
	 * Runs an effect. An effect that is begun and fails later is reported by an event; an
	 * exception says that the effect was lost, and ends the process.
	 * @param effect the effect
	 */
	void run(F effect);

}
