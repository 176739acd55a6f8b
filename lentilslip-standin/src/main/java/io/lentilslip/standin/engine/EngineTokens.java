package io.lentilslip.standin.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * Splits texts into tokens. A token is a word with the white space that follows it, so
 * that the tokens of a text joined again are the text. Without state, safe for use by
 * several threads.
 */
final class EngineTokens {

	private EngineTokens() {
	}

	/**
	 * Returns the tokens of a text.
	 * @param text the text to split
	 * @return the tokens; a text of white space alone is one token
	 */
	static List<String> split(String text) {
		List<String> tokens = new ArrayList<>();
		int start = 0;
		boolean inWord = false;
		boolean afterWord = false;
		for (int i = 0; i < text.length(); i++) {
			boolean space = Character.isWhitespace(text.charAt(i));
			if (!space && afterWord) {
				tokens.add(text.substring(start, i));
				start = i;
				afterWord = false;
			}
			afterWord = afterWord || (space && inWord);
			inWord = !space;
		}
		if (start < text.length()) {
			tokens.add(text.substring(start));
		}
		return tokens;
	}

}
