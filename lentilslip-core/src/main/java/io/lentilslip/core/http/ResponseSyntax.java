package io.lentilslip.core.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * The syntax of responses by RFC 9110 and RFC 9112. Libraries are lenient: they take any
 * number for a status, shorten names at a blank and ignore codings that they don't know,
 * so that what is passed on would not be what was received. Lines are given as they were
 * received, without their ends. Stateless and safe for use by several threads.
 */
public final class ResponseSyntax {

	private static final byte[] VERSION = "HTTP/1.".getBytes(StandardCharsets.ISO_8859_1);

	/**
	 * The position of the status in a status line, behind a version of one digit and a
	 * blank.
	 */
	private static final int STATUS_START = VERSION.length + 2;

	private static final int STATUS_DIGITS = 3;

	private static final int DECIMAL = 10;

	private static final int FIRST_INFORMATIONAL = 100;

	private static final int FIRST_FINAL = 200;

	private static final int LAST = 599;

	private static final int SWITCHING_PROTOCOLS = 101;

	private static final int DELETE = 0x7f;

	private static final String CHUNKED = "chunked";

	/**
	 * Whether a byte can be a part of a name, by its value.
	 */
	private static final boolean[] NAME_BYTES = nameBytes();

	private ResponseSyntax() {
	}

	private static boolean[] nameBytes() {
		boolean[] allowed = new boolean[1 << Byte.SIZE];
		"!#$%&'*+-.^_`|~".chars().forEach((symbol) -> allowed[symbol] = true);
		Arrays.fill(allowed, '0', '9' + 1, true);
		Arrays.fill(allowed, 'A', 'Z' + 1, true);
		Arrays.fill(allowed, 'a', 'z' + 1, true);
		return allowed;
	}

	/**
	 * Returns whether a line is a status line. The blank before an empty reason may be
	 * missing.
	 * @param line the line
	 * @return whether it is one
	 */
	public static boolean isStatusLine(byte[] line) {
		int end = STATUS_START + STATUS_DIGITS;
		if (line.length < end || !Arrays.equals(line, 0, VERSION.length, VERSION, 0, VERSION.length)
				|| !isDigit(line[VERSION.length]) || line[STATUS_START - 1] != ' ') {
			return false;
		}
		int status = 0;
		for (int i = STATUS_START; i < end; i++) {
			if (!isDigit(line[i])) {
				return false;
			}
			status = DECIMAL * status + line[i] - '0';
		}
		boolean separated = line.length == end || line[end] == ' ';
		return separated && isStatus(status) && isText(line, end);
	}

	// A client that asks for no other protocol is not answered with a switch to one.
	private static boolean isStatus(int status) {
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
	 * Returns whether a line is a field, or continues the one before it.
	 * @param line the line, not empty
	 * @param first whether no field stands before it
	 * @return whether it is one
	 */
	public static boolean isFieldLine(byte[] line, boolean first) {
		if (line[0] == ' ' || line[0] == '\t') {
			return !first && isText(line, 0);
		}
		int colon = 0;
		while (colon < line.length && NAME_BYTES[line[colon] & 0xff]) {
			colon++;
		}
		return colon > 0 && colon < line.length && line[colon] == ':' && isText(line, colon);
	}

	/**
	 * Returns whether a name and a value are those of a field.
	 * @param name all that stood before the colon
	 * @param value the value
	 * @return whether they are
	 */
	public static boolean isField(String name, String value) {
		return name.indexOf(':') < 0 && isFieldLine((name + ":" + value).getBytes(StandardCharsets.ISO_8859_1), true);
	}

	/**
	 * Returns whether a text can be a reason.
	 * @param reason the text
	 * @return whether it can
	 */
	public static boolean isReason(String reason) {
		return isText(reason.getBytes(StandardCharsets.ISO_8859_1), 0);
	}

	private static boolean isText(byte[] bytes, int start) {
		for (int i = start; i < bytes.length; i++) {
			int next = bytes[i] & 0xff;
			if ((next < ' ' && next != '\t') || next == DELETE) {
				return false;
			}
		}
		return true;
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
		for (int i = 0; i < value.length(); i++) {
			if (!isDigit(value.charAt(i))) {
				return false;
			}
		}
		try {
			Long.parseLong(value);
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
