package io.lentilslip.core.http;

import java.util.List;

/**
 * The syntax of responses by RFC 9110 and RFC 9112. Libraries are lenient: they take any
 * number for a status, shorten names at a blank and ignore codings that they don't know,
 * so that what is passed on would not be what was received. Characters stand for bytes.
 * Stateless and safe for use by several threads.
 */
public final class ResponseSyntax {

	private static final String VERSION = "HTTP/1.";

	/**
	 * The position of the status in a status line, behind a version of one digit and a
	 * blank.
	 */
	private static final int STATUS_START = VERSION.length() + 2;

	private static final int STATUS_DIGITS = 3;

	private static final int DECIMAL = 10;

	private static final int FIRST_INFORMATIONAL = 100;

	private static final int FIRST_FINAL = 200;

	private static final int LAST = 599;

	private static final int SWITCHING_PROTOCOLS = 101;

	private static final int DELETE = 0x7f;

	private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

	private static final String CHUNKED = "chunked";

	private ResponseSyntax() {
	}

	/**
	 * Returns whether a line is a status line. The blank before an empty reason may be
	 * missing.
	 * @param line the line without its end
	 * @return whether it is one
	 */
	public static boolean isStatusLine(CharSequence line) {
		int end = STATUS_START + STATUS_DIGITS;
		if (line.length() < end || !VERSION.contentEquals(line.subSequence(0, VERSION.length()))
				|| !isDigit(line.charAt(VERSION.length())) || line.charAt(STATUS_START - 1) != ' ') {
			return false;
		}
		int status = 0;
		for (int i = STATUS_START; i < end; i++) {
			if (!isDigit(line.charAt(i))) {
				return false;
			}
			status = DECIMAL * status + line.charAt(i) - '0';
		}
		boolean separated = line.length() == end || line.charAt(end) == ' ';
		return separated && isStatus(status) && isFieldValue(line.subSequence(end, line.length()));
	}

	/**
	 * Returns whether a client that asks for no other protocol may receive a status.
	 * @param status the status
	 * @return whether it may
	 */
	public static boolean isStatus(int status) {
		return status >= FIRST_INFORMATIONAL && status <= LAST && status != SWITCHING_PROTOCOLS;
	}

	/**
	 * Returns whether a status is that of a final response.
	 * @param status the status
	 * @return whether it is
	 */
	public static boolean isFinalStatus(int status) {
		return status >= FIRST_FINAL && status <= LAST;
	}

	/**
	 * Returns whether a text can be the name of a field.
	 * @param name the text, all that stands before the colon
	 * @return whether it can
	 */
	public static boolean isFieldName(CharSequence name) {
		for (int i = 0; i < name.length(); i++) {
			char next = name.charAt(i);
			boolean letter = (next >= 'a' && next <= 'z') || (next >= 'A' && next <= 'Z');
			if (!letter && !isDigit(next) && NAME_SYMBOLS.indexOf(next) < 0) {
				return false;
			}
		}
		return !name.isEmpty();
	}

	/**
	 * Returns whether a text can be the value of a field, or a reason.
	 * @param value the text
	 * @return whether it can
	 */
	public static boolean isFieldValue(CharSequence value) {
		for (int i = 0; i < value.length(); i++) {
			char next = value.charAt(i);
			if ((next < ' ' && next != '\t') || next == DELETE) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns whether a line is a field, or continues the one before it.
	 * @param line the line without its end
	 * @param first whether no field stands before it
	 * @return whether it is one
	 */
	public static boolean isFieldLine(CharSequence line, boolean first) {
		if (line.charAt(0) == ' ' || line.charAt(0) == '\t') {
			return !first && isFieldValue(line);
		}
		int colon = 0;
		while (colon < line.length() && line.charAt(colon) != ':') {
			colon++;
		}
		return colon < line.length() && isFieldName(line.subSequence(0, colon))
				&& isFieldValue(line.subSequence(colon, line.length()));
	}

	/**
	 * Returns whether the fields of a response say in one way how its body is framed, and
	 * none of its codings would have to be undone.
	 * @param lengths the values of {@code Content-Length}
	 * @param codings the values of {@code Transfer-Encoding}
	 * @param chunksSupported whether the version of the response has chunks
	 * @return whether they do
	 */
	public static boolean isFramed(List<String> lengths, List<String> codings, boolean chunksSupported) {
		if (codings.isEmpty()) {
			return lengths.isEmpty() || (lengths.size() == 1 && isLength(lengths.getFirst()));
		}
		return lengths.isEmpty() && chunksSupported && codings.size() == 1
				&& CHUNKED.equalsIgnoreCase(codings.getFirst());
	}

	private static boolean isLength(String value) {
		return !value.isEmpty() && value.chars().allMatch(ResponseSyntax::isDigit) && isLong(value);
	}

	private static boolean isLong(String digits) {
		try {
			Long.parseLong(digits);
			return true;
		}
		catch (NumberFormatException ex) {
			return false;
		}
	}

	private static boolean isDigit(int character) {
		return character >= '0' && character <= '9';
	}

}
