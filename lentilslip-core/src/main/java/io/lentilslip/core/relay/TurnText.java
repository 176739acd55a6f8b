package io.lentilslip.core.relay;

/**
 * Immutable pair of a turn and its text. Safe for use by several threads.
 *
 * @param run the run of the turn
 * @param text the text
 */
public record TurnText(RunId run, StoredTurn text) {

	/**
	 * Returns the id by which later turns name the turn.
	 * @return the id of the request
	 */
	public String request() {
		return this.run.request();
	}

}
