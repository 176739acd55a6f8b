package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A runner: answers with the request's id and its own stamp, streams numbered events on
 * streaming routes, and says in the store that it is ready.
 */
final class Runner implements AutoCloseable {

	final String id;

	final String service;

	private final ServerSocket server;

	private final Site site;

	private final List<Run> runs = new ArrayList<>();

	/** Answers a request; the default is a sound answer. */
	volatile Answering answering = Runner::soundly;

	/** The events of a stream, the bytes of the data of each, and the pause between two. */
	volatile int events = 4;

	volatile int eventBytes = 100;

	volatile int pauseMs = 3;

	private long seq;

	volatile boolean closed;

	Runner(Site site, String id, String service) throws IOException {
		this.site = site;
		this.id = id;
		this.service = service;
		this.server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
		// A small window, as RULES and DEPLOY describe links.
		this.server.setReceiveBufferSize(65536);
		Site.daemon(this::accept);
		Site.daemon(this::register);
	}

	int port() {
		return this.server.getLocalPort();
	}

	synchronized List<Run> runs() {
		return List.copyOf(this.runs);
	}

	synchronized void add(Run run) {
		this.runs.add(this.site.record.quiet ? new Run(run.id, run.target, new byte[0], run.previous) : run);
	}

	private void register() {
		while (!this.closed) {
			this.seq++;
			this.site.store.put("keyed.servers", this.id, """
					{"Service":"%s","Address":"127.0.0.1:%d","Zone":"hala-tulcea","Version":"v1","Slots":64,"State":"ready","ColdRemainingMs":0,"Seq":%d}"""
				.formatted(this.service, port(), this.seq));
			Site.sleep(1200);
		}
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.server.accept();
				socket.setTcpNoDelay(true);
				Site.daemon(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
			int number = 0;
			while (true) {
				Wire.Head head = Wire.head(in);
				if (head == null) {
					return;
				}
				number++;
				String expected = head.get("X-Lentilslip-Expect-Instance", this.id);
				if (!expected.equals(this.id)) {
					Wire.requestBody(head, in);
					socket.getOutputStream()
						.write(Wire.bytes("HTTP/1.1 421 Misdirected\r\nX-Lentilslip-Request-Id: "
								+ head.get("X-Lentilslip-Request-Id", "")
								+ "\r\nX-Lentilslip-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
					continue;
				}
				if (!this.answering.answer(new Call(this, head, in, socket, number))) {
					return;
				}
			}
		}
		catch (IOException | NumberFormatException ex) {
			// The caller has left.
		}
	}

	/** Reads the whole request, runs it and answers. */
	static boolean soundly(Call call) throws IOException {
		byte[] body = call.body();
		call.run(body);
		if (call.head.get("X-Lentilslip-Token-Usage") != null) {
			return call.stream();
		}
		call.respond(200, Wire.bytes("done by " + call.runner.id + " for " + call.requestId()));
		return true;
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.server.close();
	}

	/** Answers a request. */
	interface Answering {

		/** Returns whether the connection goes on. */
		boolean answer(Call call) throws IOException;

	}

	/** A request that a runner began to work on. */
	record Run(String id, String target, byte[] body, String previous) {

	}

	/** A request at a runner. */
	static final class Call {

		final Runner runner;

		final Wire.Head head;

		final InputStream in;

		final Socket socket;

		/** The number of the request on its connection, from 1. */
		final int number;

		Call(Runner runner, Wire.Head head, InputStream in, Socket socket, int number) {
			this.runner = runner;
			this.head = head;
			this.in = in;
			this.socket = socket;
			this.number = number;
		}

		String requestId() {
			return this.head.get("X-Lentilslip-Request-Id", "");
		}

		byte[] body() throws IOException {
			return Wire.requestBody(this.head, this.in);
		}

		void run(byte[] body) {
			String previous = this.head.get("X-Lentilslip-Previous-Turn", "");
			this.runner.add(new Run(requestId(), this.head.start, body, previous));
			this.runner.site.record.add("run      " + requestId() + " at " + this.runner.id + ", " + this.head.start
					+ ", body of " + body.length + " bytes");
		}

		String stamp() {
			return "X-Lentilslip-Request-Id: " + requestId() + "\r\nX-Lentilslip-Response-Stamp: stamp." + this.runner.id
					+ "." + requestId() + "\r\n";
		}

		void send(byte[] bytes) throws IOException {
			this.socket.getOutputStream().write(bytes);
		}

		void respond(int status, byte[] body) throws IOException {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			bytes.writeBytes(Wire.bytes("HTTP/1.1 " + status + " Status\r\n" + stamp() + "Keep-Alive: timeout=10\r\nContent-Length: "
					+ body.length + "\r\n\r\n"));
			bytes.writeBytes(body);
			send(bytes.toByteArray());
		}

		boolean stream() throws IOException {
			send(Wire.bytes("HTTP/1.1 200 OK\r\n" + stamp()
					+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
			for (int event = 1; event <= this.runner.events; event++) {
				Site.sleep(this.runner.pauseMs);
				send(chunk("id: " + event + "\ndata: " + data(requestId(), event, this.runner.eventBytes) + "\n\n"));
			}
			send(Wire.bytes("0\r\n\r\n"));
			return true;
		}

		static String data(String id, int event, int length) {
			StringBuilder text = new StringBuilder(id + "." + event + ".");
			while (text.length() < length) {
				text.append("abcdefghijklmnopqrstuvwxyz0123456789".charAt(text.length() % 36));
			}
			return text.substring(0, Math.max(length, id.length() + 4));
		}

		private static byte[] chunk(String text) {
			return Wire.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
		}

	}

}
