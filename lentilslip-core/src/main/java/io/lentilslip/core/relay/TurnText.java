package io.lentilslip.core.relay;

/**
 * Immutable pair of a turn and its text. Safe for use by several threads.
 *
 * @param request the request id of the turn
 * @param text the text
 */
public record TurnText(String request, StoredTurn text) {

}
