package io.lentilslip.core.budget;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.HistoryMode;

/**
 * Estimates the maximum number of tokens of a call before it runs. The estimate counts
 * one token per two bytes of UTF-8. No tokenizer produces more tokens than bytes, so the
 * text of a prompt uses at most twice its estimate. Thread-safe.
 */
public final class Estimate {

	private static final int BYTES_PER_TOKEN = 2;

	private static final int MESSAGE_OVERHEAD_TOKENS = 8;

	private Estimate() {
	}

	/**
	 * Returns the number of tokens to hold for a call.
	 * @param call the call
	 * @param historyTokens the tokens of its program's history, or 0 without one
	 * @return the tokens of prompt and response, at least one
	 */
	public static long of(CallRequest.ForModel call, long historyTokens) {
		long text = tokensOf(call.messages()) + tokensOf(call.parameters());
		// A full conversation includes the history, whose tokens were counted by the
		// engine.
		long prompt = (call.mode() == HistoryMode.NEW) ? historyTokens + text : Math.max(historyTokens, text);
		return Math.max(1, prompt + call.maxTokens());
	}

	private static long tokensOf(List<String> messages) {
		long sum = 0;
		for (String message : messages) {
			sum += tokensOf(message) + MESSAGE_OVERHEAD_TOKENS;
		}
		return sum;
	}

	private static long tokensOf(String text) {
		return Math.ceilDiv(text.getBytes(StandardCharsets.UTF_8).length, BYTES_PER_TOKEN);
	}

}
