package io.lentilslip.core.call;

/**
 * How the messages of a call relate to the history of its program. Safe for use by
 * several threads.
 */
public enum HistoryMode {

	/**
	 * The caller sends the whole conversation, which must begin with the history held.
	 */
	WHOLE,

	/**
	 * The caller sends only what is new and leaves the history to the system. Such a call
	 * bears a number, so that a turn missing from the history is noticed.
	 */
	NEW

}
