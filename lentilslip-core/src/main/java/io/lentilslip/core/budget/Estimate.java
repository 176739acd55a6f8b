package io.lentilslip.core.budget;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.HistoryMode;

/**
 * An estimate of the most tokens that a call takes, made before it runs. No tokenizer
 * makes more tokens of a text than it has bytes in UTF-8; usual texts have two to four
 * bytes a token, and the estimate counts two. So a prompt of unusual text takes at most
 * twice what was estimated of its text. Safe for use by several threads.
 */
public final class Estimate {

	private static final int BYTES_PER_TOKEN = 2;

	private static final int TOKENS_AROUND_MESSAGE = 8;

	private Estimate() {
	}

	/**
	 * Returns the tokens to hold for a call.
	 * @param call the call
	 * @param historyTokens the tokens of the history of its program, 0 if there is none
	 * @return the tokens of prompt and answer, at least one
	 */
	public static long of(CallRequest.ForModel call, long historyTokens) {
		long text = tokensOf(call.messages()) + tokensOf(call.parameters());
		// A whole conversation holds the history, whose tokens the engine counted.
		long prompt = (call.mode() == HistoryMode.NEW) ? historyTokens + text : Math.max(historyTokens, text);
		return Math.max(1, prompt + call.maxTokens());
	}

	private static long tokensOf(List<String> messages) {
		long sum = 0;
		for (String message : messages) {
			sum += tokensOf(message) + TOKENS_AROUND_MESSAGE;
		}
		return sum;
	}

	private static long tokensOf(String text) {
		return Math.ceilDiv(text.getBytes(StandardCharsets.UTF_8).length, BYTES_PER_TOKEN);
	}

}
