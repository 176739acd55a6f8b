package io.lentilslip.core.relay;

import java.util.Optional;

/**
 * The text of a turn that later turns may continue from. The arrays are shared and never
 * written to.
 *
 * @param previous the turn that it continues from; empty at the start of a chain
 * @param input the new input
 * @param output the data of its events, a line feed after each
 */
public record StoredTurn(Optional<String> previous, byte[] input, byte[] output) {

	/**
	 * Returns how many bytes the text has.
	 * @return the number
	 */
	public int size() {
		return this.input.length + this.output.length;
	}

}
