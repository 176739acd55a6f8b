package io.lentilslip.core.relay;

import java.util.Optional;

/**
 * Immutable text of a turn that later turns may continue. The arrays are shared and must
 * not be modified.
 *
 * @param previous the turn that this one continues; empty for the first turn of a chain
 * @param input the input that the turn adds
 * @param output the data of its response events, each followed by a line feed
 */
public record StoredTurn(Optional<String> previous, byte[] input, byte[] output) {

	/**
	 * Returns the size of the text.
	 * @return the size in bytes
	 */
	public int size() {
		return this.input.length + this.output.length;
	}

}
