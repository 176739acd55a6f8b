package io.lentilslip.client.engine;

import java.util.Objects;
import java.util.Optional;

/**
 * The end of a whole answer. Immutable and safe for use by several threads.
 *
 * @param usage the tokens that the answer took
 * @param finishReason why it ended, in the engine's words
 * @param toolCalls the tool calls as the text of a JSON array, if there are any
 */
public record GenerationEnd(Usage usage, String finishReason, Optional<String> toolCalls) {

	/**
	 * Creates an end.
	 * @param usage the tokens that the answer took
	 * @param finishReason why it ended
	 * @param toolCalls the tool calls as the text of a JSON array
	 */
	public GenerationEnd {
		Objects.requireNonNull(usage, "usage");
		Objects.requireNonNull(finishReason, "finishReason");
		Objects.requireNonNull(toolCalls, "toolCalls");
	}

	/**
	 * The tokens that an answer took.
	 *
	 * @param promptTokens the tokens of the prompt
	 * @param cachedTokens those of them that were found in the engine's memory
	 * @param completionTokens the tokens generated
	 */
	public record Usage(long promptTokens, long cachedTokens, long completionTokens) {

	}

}
