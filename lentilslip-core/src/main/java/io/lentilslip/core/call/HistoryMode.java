package io.lentilslip.core.call;

/**
 * Relation of the messages of a call to the history of its program. Thread-safe.
 */
public enum HistoryMode {

	/**
	 * The caller sends the whole conversation, which must start with the stored history.
	 */
	WHOLE,

	/**
	 * The caller sends only new messages, which are appended to the stored history. Such
	 * a call carries a number, so that a turn missing from the history is detected.
	 */
	NEW

}
