package io.lentilslip.core.role;

import java.util.Optional;

import io.vavr.collection.Vector;

/**
 * The text of an answer as far as it is known, kept in pieces so that a long answer is
 * not copied for each of them. Immutable and safe for use by several threads.
 *
 * @param chunks the pieces in their order
 * @param length the number of characters in all
 */
public record Transcript(Vector<String> chunks, int length) {

	/**
	 * Returns a transcript that begins with a text.
	 * @param text the text that is there already, which may be empty
	 * @return the transcript
	 */
	public static Transcript of(String text) {
		return new Transcript((text.isEmpty()) ? Vector.empty() : Vector.of(text), text.length());
	}

	/**
	 * Returns this transcript with one more piece.
	 * @param piece the text that follows
	 * @return the longer transcript
	 */
	public Transcript with(String piece) {
		return new Transcript(this.chunks.append(piece), this.length + piece.length());
	}

	/**
	 * Returns the text after the part that a listener has.
	 * @param delivered the part that the listener has
	 * @return the rest, or an empty result if this transcript does not begin with the
	 * part
	 */
	public Optional<String> suffixAfter(String delivered) {
		String text = text();
		return (text.startsWith(delivered)) ? Optional.of(text.substring(delivered.length())) : Optional.empty();
	}

	/**
	 * Returns the whole text.
	 * @return the whole text
	 */
	public String text() {
		return this.chunks.mkString();
	}

}
