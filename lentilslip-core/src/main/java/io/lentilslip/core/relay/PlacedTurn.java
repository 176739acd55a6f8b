package io.lentilslip.core.relay;

/**
 * A turn with where its text is. Immutable and safe for use by several threads.
 *
 * @param request the turn
 * @param place where its text is
 */
public record PlacedTurn(String request, TextPlace place) {

}
