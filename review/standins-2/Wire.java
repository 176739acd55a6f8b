package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes HTTP/1.1 messages as bytes. */
final class Wire {

	private Wire() {
	}

	/** The head of a message. */
	static final class Head {

		String start = "";

		final List<String[]> headers = new ArrayList<>();

		String get(String name) {
			for (String[] header : this.headers) {
				if (header[0].equalsIgnoreCase(name)) {
					return header[1];
				}
			}
			return null;
		}

		String get(String name, String fallback) {
			String value = get(name);
			return (value != null) ? value : fallback;
		}

	}

	/** Reads a line without its end; null at the end of the connection. */
	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		while (true) {
			int next = in.read();
			if (next < 0) {
				if (bytes.size() == 0) {
					return null;
				}
				throw new EOFException("the connection ended within a line");
			}
			if (next == '\n') {
				break;
			}
			bytes.write(next);
		}
		String text = bytes.toString(StandardCharsets.ISO_8859_1);
		return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
	}

	/** Reads a head; null if the connection ended before it. */
	static Head head(InputStream in) throws IOException {
		Head head = new Head();
		String start = line(in);
		if (start == null) {
			return null;
		}
		head.start = start;
		while (true) {
			String next = line(in);
			if (next == null) {
				throw new EOFException("the connection ended within a head");
			}
			if (next.isEmpty()) {
				return head;
			}
			int colon = next.indexOf(':');
			if (colon <= 0) {
				throw new IOException("not a header: " + next);
			}
			head.headers.add(new String[] { next.substring(0, colon), next.substring(colon + 1).strip() });
		}
	}

	static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the connection ended after " + bytes.length + " of " + length + " bytes");
		}
		return bytes;
	}

	/** Reads the body of a request: with a length, in chunks or none. */
	static byte[] requestBody(Head head, InputStream in) throws IOException {
		if (head.get("Transfer-Encoding", "").toLowerCase().contains("chunked")) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			while (true) {
				byte[] chunk = chunk(in);
				if (chunk.length == 0) {
					return body.toByteArray();
				}
				body.writeBytes(chunk);
			}
		}
		return exactly(in, Integer.parseInt(head.get("Content-Length", "0")));
	}

	/** Reads a chunk; the last one is empty. */
	static byte[] chunk(InputStream in) throws IOException {
		String size = line(in);
		if (size == null) {
			throw new EOFException("the connection ended before a chunk");
		}
		int length = Integer.parseInt(size.strip().split(";")[0], 16);
		byte[] chunk = exactly(in, length);
		String end = line(in);
		if (end == null) {
			throw new EOFException("the connection ended after a chunk");
		}
		return chunk;
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

}
