package io.lentilslip.core.relay;

/**
 * Immutable tokens of one turn in the budget of its program. Safe for use by several
 * threads.
 *
 * @param tokens the tokens that were delivered, or the reserved maximum if the turn is
 * open
 * @param open whether the turn is reserved and not settled
 */
public record TurnTokens(int tokens, boolean open) {

}
