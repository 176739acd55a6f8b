package io.lentilslip.core.role;

import java.util.Optional;

import io.vavr.collection.Vector;

/**
 * Immutable text of a response received so far, stored in chunks to avoid copying it for
 * each chunk. Thread-safe.
 *
 * @param chunks the chunks in order
 * @param length the total number of characters
 */
public record Transcript(Vector<String> chunks, int length) {

	/**
	 * Returns a transcript with an initial text.
	 * @param text the initial text, which may be empty
	 * @return the transcript
	 */
	public static Transcript of(String text) {
		return new Transcript((text.isEmpty()) ? Vector.empty() : Vector.of(text), text.length());
	}

	/**
	 * Returns this transcript with a chunk appended.
	 * @param chunk the text to append
	 * @return the transcript with the chunk
	 */
	public Transcript with(String chunk) {
		return new Transcript(this.chunks.append(chunk), this.length + chunk.length());
	}

	/**
	 * Returns the text after a prefix that has already been delivered.
	 * @param delivered the delivered prefix
	 * @return the remaining text, or an empty result if this transcript does not start
	 * with the prefix
	 */
	public Optional<String> suffixAfter(String delivered) {
		String text = text();
		return (text.startsWith(delivered)) ? Optional.of(text.substring(delivered.length())) : Optional.empty();
	}

	/**
	 * Returns the whole text.
	 * @return the text
	 */
	public String text() {
		return this.chunks.mkString();
	}

}
