package io.lentilslip.telemetry;

/**
 * Text that is made safe for a line of the log. Safe for use by several threads.
 */
final class LineText {

	private static final String ELLIPSIS = "...";

	private LineText() {
	}

	/**
	 * Returns the beginning of a text. Callers choose some texts; without a bound, one
	 * name of megabytes hides the lines around it and fills the store of the log.
	 * @param text the text
	 * @param limit the most characters of the result, more than three
	 * @return the text, or its beginning and an ellipsis; never half of a character
	 */
	static String bounded(String text, int limit) {
		if (text.length() <= limit) {
			return text;
		}
		int end = limit - ELLIPSIS.length();
		if (Character.isHighSurrogate(text.charAt(end - 1))) {
			end--;
		}
		return text.substring(0, end) + ELLIPSIS;
	}

	/**
	 * Returns a text without characters that end a line, hide text or turn its direction.
	 * @param text the text
	 * @return the text on one line
	 */
	static String escaped(String text) {
		StringBuilder line = new StringBuilder();
		for (int index = 0; index < text.length(); index++) {
			append(line, text.charAt(index));
		}
		return line.toString();
	}

	/**
	 * Returns a value as it stands behind an equal sign: bare where it cannot be
	 * mistaken, else quoted. Callers choose some values, and one such as {@code a vm=b}
	 * would read as a further field, or with a line feed as a further event. Quotes, with
	 * quotes inside escaped, leave one reading only.
	 * @param value the value
	 * @return the value, quoted where needed
	 */
	static String quoted(String value) {
		String escaped = escaped(value);
		if (!value.isEmpty() && escaped.equals(value) && value.chars().noneMatch(LineText::separates)) {
			return value;
		}
		return '"' + escaped.replace("\"", "\\\"") + '"';
	}

	private static boolean separates(int character) {
		return character == '"' || character == '=' || Character.isSpaceChar(character);
	}

	private static void append(StringBuilder line, char character) {
		switch (character) {
			case '\\' -> line.append("\\\\");
			case '\n' -> line.append("\\n");
			case '\r' -> line.append("\\r");
			case '\t' -> line.append("\\t");
			default -> {
				if (isInvisible(character)) {
					line.append(String.format("\\u%04x", (int) character));
				}
				else {
					line.append(character);
				}
			}
		}
	}

	private static boolean isInvisible(char character) {
		return switch (Character.getType(character)) {
			case Character.CONTROL, Character.FORMAT, Character.LINE_SEPARATOR, Character.PARAGRAPH_SEPARATOR -> true;
			default -> false;
		};
	}

}
