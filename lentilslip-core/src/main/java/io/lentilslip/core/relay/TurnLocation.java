package io.lentilslip.core.relay;

/**
 * Immutable pair of a turn and the location of its text in the log. Safe for use by
 * several threads.
 *
 * @param request the request id of the turn
 * @param location the location of its text
 */
public record TurnLocation(String request, TextLocation location) {

}
