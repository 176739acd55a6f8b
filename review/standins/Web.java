package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Small HTTP/1.1 server and client on loopback addresses. Safe for use by several threads.
 */
final class Web {

	private static final int MAX_LINE = 64 * 1024;

	private Web() {
	}

	/**
	 * A message: the first line, the headers in lower case, and the body.
	 */
	record Message(String first, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		String method() {
			return this.first.split(" ")[0];
		}

		String target() {
			return this.first.split(" ")[1];
		}

		String path() {
			return target().split("\\?")[0];
		}

		String parameter(String name, String standard) {
			String[] parts = target().split("\\?", 2);
			if (parts.length == 2) {
				for (String pair : parts[1].split("&")) {
					if (pair.startsWith(name + "=")) {
						return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
					}
				}
			}
			return standard;
		}

		long number(String name, long standard) {
			return Long.parseLong(parameter(name, Long.toString(standard)));
		}

	}

	/**
	 * The connection on which a request came.
	 */
	record Connection(Socket socket, OutputStream out) {

		void respond(int status, String headers, byte[] body) throws IOException {
			ByteArrayOutputStream whole = new ByteArrayOutputStream();
			whole.writeBytes(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			whole.writeBytes(body);
			this.out.write(whole.toByteArray());
			this.out.flush();
		}

		void send(String text) throws IOException {
			this.out.write(text.getBytes(StandardCharsets.ISO_8859_1));
			this.out.flush();
		}

		void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

	}

	/**
	 * Answers requests.
	 */
	interface Handler {

		void handle(Message request, Connection connection) throws Exception;

	}

	/**
	 * A server with a thread for each connection.
	 */
	static final class Server implements AutoCloseable {

		private final ServerSocket listening;

		private final Handler handler;

		private final Set<Socket> open = ConcurrentHashMap.newKeySet();

		Server(Handler handler) throws IOException {
			this.handler = handler;
			this.listening = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
			Thread.ofVirtual().start(this::accept);
		}

		int port() {
			return this.listening.getLocalPort();
		}

		private void accept() {
			try {
				while (true) {
					Socket socket = this.listening.accept();
					socket.setTcpNoDelay(true);
					this.open.add(socket);
					Thread.ofVirtual().start(() -> serve(socket));
				}
			}
			catch (IOException ex) {
				// The server was closed.
			}
		}

		private void serve(Socket socket) {
			try (socket) {
				InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
				Connection connection = new Connection(socket, socket.getOutputStream());
				while (true) {
					Optional<Message> request = read(in, false);
					if (request.isEmpty()) {
						return;
					}
					this.handler.handle(request.get(), connection);
				}
			}
			catch (Exception ex) {
				// The connection ends.
			}
			finally {
				this.open.remove(socket);
			}
		}

		void resetAll() {
			for (Socket socket : this.open) {
				try {
					socket.setSoLinger(true, 0);
					socket.close();
				}
				catch (IOException ex) {
					// It is closed already.
				}
			}
		}

		@Override
		public void close() {
			try {
				this.listening.close();
			}
			catch (IOException ex) {
				// It is closed already.
			}
			resetAll();
		}

	}

	/**
	 * What a client got for a request.
	 *
	 * @param status the status; 0 if the connection ended without one
	 * @param complete whether the answer was whole
	 */
	record Answer(int status, Map<String, String> headers, byte[] body, boolean complete, String error) {

		String text() {
			return new String(this.body, StandardCharsets.ISO_8859_1);
		}

		List<String> events() {
			List<String> events = new ArrayList<>(Arrays.asList(text().split("\n\n")));
			events.removeIf(String::isBlank);
			return events;
		}

	}

	/**
	 * A connection of a client.
	 */
	static final class Client implements AutoCloseable {

		private final Socket socket = new Socket();

		private final InputStream in;

		Client(int port, int timeoutMillis) throws IOException {
			this.socket.setTcpNoDelay(true);
			this.socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
			this.socket.setSoTimeout(timeoutMillis);
			this.in = new BufferedInputStream(this.socket.getInputStream(), 65536);
		}

		Answer call(String method, String target, Map<String, String> headers, byte[] body) {
			try {
				send(method, target, headers, body);
			}
			catch (IOException ex) {
				// An answer may have come before.
			}
			return readAnswer();
		}

		void send(String method, String target, Map<String, String> headers, byte[] body) throws IOException {
			StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
			ByteArrayOutputStream whole = new ByteArrayOutputStream();
			whole.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			whole.writeBytes(body);
			this.socket.getOutputStream().write(whole.toByteArray());
			this.socket.getOutputStream().flush();
		}

		Answer readAnswer() {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			int status = 0;
			Map<String, String> headers = Map.of();
			try {
				Optional<String> first = line(this.in);
				if (first.isEmpty()) {
					return new Answer(0, headers, new byte[0], false, "closed without an answer");
				}
				status = Integer.parseInt(first.get().split(" ")[1]);
				headers = headers(this.in);
				readBody(this.in, headers, body, true);
				return new Answer(status, headers, body.toByteArray(), true, "");
			}
			catch (IOException ex) {
				return new Answer(status, headers, body.toByteArray(), false, ex.getClass().getSimpleName() + ": " + ex.getMessage());
			}
		}

		@Override
		public void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// It is closed already.
			}
		}

	}

	private static Optional<Message> read(InputStream in, boolean answer) throws IOException {
		Optional<String> first = line(in);
		if (first.isEmpty()) {
			return Optional.empty();
		}
		Map<String, String> headers = headers(in);
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		readBody(in, headers, body, answer);
		return Optional.of(new Message(first.get(), headers, body.toByteArray()));
	}

	private static Map<String, String> headers(InputStream in) throws IOException {
		Map<String, String> headers = new LinkedHashMap<>();
		while (true) {
			String line = line(in).orElseThrow(EOFException::new);
			if (line.isEmpty()) {
				return headers;
			}
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).strip().toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
	}

	private static void readBody(InputStream in, Map<String, String> headers, ByteArrayOutputStream body, boolean answer)
			throws IOException {
		if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
			while (true) {
				int size = Integer.parseInt(line(in).orElseThrow(EOFException::new).strip(), 16);
				if (size == 0) {
					line(in).orElseThrow(EOFException::new);
					return;
				}
				copy(in, size, body);
				line(in).orElseThrow(EOFException::new);
			}
		}
		if (headers.containsKey("content-length")) {
			copy(in, Integer.parseInt(headers.get("content-length")), body);
			return;
		}
		if (answer) {
			in.transferTo(body);
		}
	}

	private static void copy(InputStream in, int size, ByteArrayOutputStream body) throws IOException {
		byte[] buffer = new byte[8192];
		int left = size;
		while (left > 0) {
			int count = in.read(buffer, 0, Math.min(left, buffer.length));
			if (count < 0) {
				throw new EOFException("ended early");
			}
			body.write(buffer, 0, count);
			left -= count;
		}
	}

	private static Optional<String> line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		while (true) {
			int next = in.read();
			if (next < 0) {
				if (line.size() == 0) {
					return Optional.empty();
				}
				throw new EOFException("ended in a line");
			}
			if (next == '\n') {
				String text = line.toString(StandardCharsets.ISO_8859_1);
				return Optional.of(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
			}
			line.write(next);
			if (line.size() > MAX_LINE) {
				throw new IOException("long line");
			}
		}
	}

}
