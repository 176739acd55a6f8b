package io.lentilslip.wire.relay;

import io.lentilslip.core.relay.TurnText;

/**
 * Part of the text of a turn, as one record of the store has it. Immutable and safe for
 * use by several threads.
 *
 * @param turn the turn with the bytes of this part
 * @param index the number of the part, from 0
 * @param count the number of parts of the text
 */
public record TextPart(TurnText turn, int index, int count) {

}
