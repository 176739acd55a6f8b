package io.lentilslip.entry.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/**
 * The path of a plain service's call in one normal form. Configuration says by path which
 * calls may be repeated; a path that the upstream reads otherwise than this system would
 * let a call that may not be repeated pass for one that may. So what two readers could
 * take differently is refused: dot segments, empty segments, slashes and control
 * characters in disguise. Immutable and safe for use by several threads.
 *
 * @param value the path with its query, beginning with a slash
 */
record ServicePath(String value) {

	private static final String KEPT = "-._~!$&'()*+,;=:@";

	private static final int ESCAPE_LENGTH = 3;

	private static final int FIRST_VISIBLE = 0x20;

	private static final int DELETE = 0x7f;

	/**
	 * Returns the normal form of a path.
	 * @param raw the path with its query as sent, beginning with a slash
	 * @return the path, or an empty result if it is ambiguous or malformed
	 */
	static Optional<ServicePath> parse(String raw) {
		int mark = raw.indexOf('?');
		String path = (mark < 0) ? raw : raw.substring(0, mark);
		String query = (mark < 0) ? "" : raw.substring(mark);
		if (!path.startsWith("/") || query.indexOf('#') >= 0) {
			return Optional.empty();
		}
		return normalize(path.substring(1)).map((normal) -> new ServicePath("/" + normal + query));
	}

	private static Optional<String> normalize(String path) {
		List<String> segments = new ArrayList<>();
		String[] parts = path.split("/", -1);
		for (int index = 0; index < parts.length; index++) {
			boolean last = index == parts.length - 1;
			Optional<String> segment = decode(parts[index]).filter(ServicePath::isUnambiguous);
			if (segment.isEmpty() || (segment.get().isEmpty() && !last)) {
				return Optional.empty();
			}
			segments.add(encode(segment.get()));
		}
		return Optional.of(String.join("/", segments));
	}

	/**
	 * Returns a segment of a path with its escapes resolved.
	 * @param segment the segment as sent
	 * @return the bytes of the segment, each as one character, or an empty result if an
	 * escape is malformed
	 */
	static Optional<String> decode(String segment) {
		StringBuilder decoded = new StringBuilder();
		for (int index = 0; index < segment.length(); index++) {
			char next = segment.charAt(index);
			if (next != '%') {
				decoded.append(next);
				continue;
			}
			if (!isEscape(segment, index)) {
				return Optional.empty();
			}
			decoded.append((char) HexFormat.fromHexDigits(segment, index + 1, index + ESCAPE_LENGTH));
			index += ESCAPE_LENGTH - 1;
		}
		return Optional.of(decoded.toString());
	}

	private static boolean isEscape(String text, int index) {
		return index + ESCAPE_LENGTH <= text.length() && HexFormat.isHexDigit(text.charAt(index + 1))
				&& HexFormat.isHexDigit(text.charAt(index + 2));
	}

	// Some servers cut a segment at the semicolon before they look for dots.
	private static boolean isUnambiguous(String segment) {
		String name = segment.contains(";") ? segment.substring(0, segment.indexOf(';')) : segment;
		if (name.equals(".") || name.equals("..") || (name.isEmpty() && !segment.isEmpty())) {
			return false;
		}
		return segment.chars()
			.noneMatch((c) -> c < FIRST_VISIBLE || c == DELETE || c > 0xff || c == '/' || c == '\\' || c == '%');
	}

	private static String encode(String segment) {
		StringBuilder encoded = new StringBuilder();
		for (byte octet : segment.getBytes(StandardCharsets.ISO_8859_1)) {
			char c = (char) (octet & 0xff);
			if (isKept(c)) {
				encoded.append(c);
				continue;
			}
			encoded.append('%').append(HexFormat.of().withUpperCase().toHexDigits(octet));
		}
		return encoded.toString();
	}

	private static boolean isKept(char c) {
		boolean letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
		return letter || (c >= '0' && c <= '9') || KEPT.indexOf(c) >= 0;
	}

}
