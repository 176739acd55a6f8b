package io.lentilslip.core.relay;

/**
 * Immutable pair of a turn and the location of its text in the log. Safe for use by
 * several threads.
 *
 * @param run the run of the turn
 * @param location the location of its text
 */
public record TurnLocation(RunId run, TextLocation location) {

}
