package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client with one kept connection to a relay. */
final class Caller implements AutoCloseable {

	private final Site site;

	private final Relay relay;

	private Socket socket;

	private InputStream in;

	Caller(Site site, Relay relay) {
		this.site = site;
		this.relay = relay;
	}

	/** An answer: status 0 if the connection ended without one. */
	record Answer(String id, int status, Wire.Head head, byte[] body, boolean complete, String end) {

		boolean whole() {
			return this.status == 200 && this.complete;
		}

		String text() {
			return new String(this.body, java.nio.charset.StandardCharsets.ISO_8859_1);
		}

	}

	private void connect() throws IOException {
		if (this.socket == null) {
			Socket created = new Socket();
			created.setTcpNoDelay(true);
			created.connect(new InetSocketAddress("127.0.0.1", this.relay.frontPort), 1000);
			this.socket = created;
			this.in = new BufferedInputStream(created.getInputStream(), 65536);
		}
	}

	Answer call(String method, String target, String id, Map<String, String> headers, byte[] body, int deadlineMs) {
		try {
			connect();
			StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: " + Site.HOST
					+ "\r\nX-Lentilslip-Request-Id: " + id + "\r\nX-Lentilslip-Deadline-Ms: " + deadlineMs + "\r\n");
			headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
			if (body.length > 0 || method.equals("POST")) {
				head.append("Content-Length: " + body.length + "\r\n");
			}
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			bytes.writeBytes(Wire.bytes(head + "\r\n"));
			bytes.writeBytes(body);
			this.site.record.add("send     " + id + " to " + this.relay.name + ", " + method + " " + target
					+ (headers.containsKey("X-Lentilslip-Previous-Turn")
							? ", previous turn " + headers.get("X-Lentilslip-Previous-Turn") : "")
					+ ", body of " + body.length + " bytes");
			this.socket.getOutputStream().write(bytes.toByteArray());
			this.socket.setSoTimeout(deadlineMs + 1500);
			return noted(answer(id, method.equals("HEAD")));
		}
		catch (IOException ex) {
			close();
			return noted(new Answer(id, 0, null, new byte[0], false, ex.toString()));
		}
	}

	/** Writes bytes as they are. */
	void write(byte[] bytes) throws IOException {
		connect();
		this.socket.getOutputStream().write(bytes);
	}

	/** Reads the next answer on the connection. */
	Answer next(String id, int timeoutMs) {
		try {
			this.socket.setSoTimeout(timeoutMs);
			return noted(answer(id, false));
		}
		catch (IOException ex) {
			close();
			return noted(new Answer(id, 0, null, new byte[0], false, ex.toString()));
		}
	}

	private Answer noted(Answer answer) {
		String text = (answer.head != null) ? ", " + answer.head.start : "";
		this.site.record.add("answered " + answer.id + ": " + ((answer.status == 0) ? "no answer" : answer.status)
				+ (answer.complete ? "" : ", not complete") + ", body of " + answer.body.length + " bytes" + text
				+ ((answer.status >= 300) ? ", " + answer.text() : "") + (answer.end.isEmpty() ? "" : ", " + answer.end));
		return answer;
	}

	private Answer answer(String id, boolean ofHead) throws IOException {
		Wire.Head head = Wire.head(this.in);
		if (head == null) {
			throw new EOFException("the connection was closed without an answer");
		}
		int status = Integer.parseInt(head.start.split(" ")[1]);
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		boolean complete = true;
		String end = "";
		try {
			if (ofHead) {
				end = "";
			}
			else if (head.get("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
				for (byte[] chunk = Wire.chunk(this.in); chunk.length > 0; chunk = Wire.chunk(this.in)) {
					body.writeBytes(chunk);
				}
			}
			else {
				int length = Integer.parseInt(head.get("Content-Length", "0"));
				byte[] part = this.in.readNBytes(length);
				body.writeBytes(part);
				complete = part.length == length;
			}
		}
		catch (SocketTimeoutException ex) {
			complete = false;
			end = "nothing more came";
		}
		catch (IOException ex) {
			complete = false;
			end = "broken off: " + ex.getMessage();
		}
		if (!complete || head.get("Connection", "").equalsIgnoreCase("close")) {
			close();
		}
		return new Answer(id, status, head, body.toByteArray(), complete, end);
	}

	/** Headers of a turn of a program. */
	static Map<String, String> turn(String program, long budget, int maxTokens, String previous, long finishMs) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("X-Lentilslip-Program-Id", program);
		headers.put("X-Lentilslip-Session-Id", program + "-s");
		headers.put("X-Lentilslip-Finish-Ms", Long.toString(finishMs));
		headers.put("X-Lentilslip-Token-Budget", Long.toString(budget));
		headers.put("X-Lentilslip-Token-Usage", "1000," + maxTokens);
		if (!previous.isEmpty()) {
			headers.put("X-Lentilslip-Previous-Turn", previous);
		}
		return headers;
	}

	@Override
	public void close() {
		if (this.socket != null) {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// Closed already.
			}
			this.socket = null;
		}
	}

}
