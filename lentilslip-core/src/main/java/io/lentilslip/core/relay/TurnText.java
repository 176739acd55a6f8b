package io.lentilslip.core.relay;

/**
 * The text of a turn with the turn's name. Immutable and safe for use by several threads.
 *
 * @param request the turn: the id of its caller's attempt
 * @param text its text
 */
public record TurnText(String request, StoredTurn text) {

}
