package io.lentilslip.core.relay;

/**
 * A turn with where its text is. Immutable and safe for use by several threads.
 *
 * @param request the turn
 * @param location where its text is
 */
public record TurnLocation(String request, TextLocation location) {

}
