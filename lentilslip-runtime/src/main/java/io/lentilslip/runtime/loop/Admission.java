package io.lentilslip.runtime.loop;

/**
 * What became of an event that was offered to a {@link ReducerLoop}. Whoever offers one
 * has to act on a refusal, for instance by telling a caller that the call did not run.
 * Safe for use by several threads.
 */
public enum Admission {

	/**
	 * The reducer will see the event.
	 */
	ADMITTED,

	/**
	 * The mailbox is full; the reducer will never see the event.
	 */
	FULL,

	/**
	 * The loop has ended; the reducer will never see the event.
	 */
	CLOSED

}
