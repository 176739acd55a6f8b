package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for a runner: runs what it gets, streams numbered events, and registers itself
 * in the store. Safe for use by several threads.
 */
final class Runner implements AutoCloseable {

	/**
	 * A request that was run.
	 */
	record Run(long at, String request, String program, String previous, String lastEvent, byte[] body) {

	}

	final List<Run> runs = new CopyOnWriteArrayList<>();

	private final AtomicInteger working = new AtomicInteger();

	/**
	 * The connections by the last request on each.
	 */
	private final Map<String, Web.Connection> connections = new ConcurrentHashMap<>();

	private volatile int most;

	private final Web.Server server;

	private final String id;

	private final String service;

	private final String zone;

	private final Store store;

	private final Record record;

	/**
	 * The events of a stream, their size, and the time between two of them.
	 */
	volatile int events = 17;

	volatile int eventBytes = 100;

	volatile int gapMillis = 20;

	/**
	 * The version of the software.
	 */
	volatile String version = "v1";

	/**
	 * The text of a request that crashes this runner, and what follows the crash.
	 */
	volatile String deadly = "";

	volatile Runnable onCrash = () -> {
	};

	private volatile boolean closed;

	private int beats;

	Runner(String id, String service, String zone, Store store, Record record) throws IOException {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.store = store;
		this.record = record;
		this.server = new Web.Server(this::handle);
		beat();
		Thread.ofVirtual().start(this::beatOn);
	}

	private void beat() {
		this.beats++;
		this.store.put("keyed.servers", this.id,
				"{\"Service\":\"" + this.service + "\",\"Address\":\"127.0.0.1:" + this.server.port() + "\",\"Zone\":\""
						+ this.zone + "\",\"Version\":\"" + this.version + "\",\"Slots\":64,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":"
						+ this.beats + "}");
	}

	private void beatOn() {
		while (!this.closed) {
			Wait.millis(1200);
			if (!this.closed) {
				beat();
			}
		}
	}

	private void handle(Web.Message request, Web.Connection connection) throws Exception {
		if (request.path().equals("/healthz")) {
			connection.respond(200, "X-Lentilslip-Instance-Id: " + this.id + "\r\n", new byte[0]);
			return;
		}
		String requestId = request.header("X-Lentilslip-Request-Id");
		String echo = "X-Lentilslip-Request-Id: " + requestId + "\r\n";
		if (!request.header("X-Lentilslip-Expect-Instance").equals(this.id)) {
			connection.respond(421, echo + "X-Lentilslip-Instance-Id: " + this.id + "\r\n", new byte[0]);
			return;
		}
		this.runs.add(new Run(Wait.now(), requestId, request.header("X-Lentilslip-Program-Id"),
				request.header("X-Lentilslip-Previous-Turn"), request.header("Last-Event-Id"), request.body()));
		this.record.line("run", this.id + " runs " + requestId + " program=" + request.header("X-Lentilslip-Program-Id")
				+ " previous=" + request.header("X-Lentilslip-Previous-Turn") + " last-event="
				+ request.header("Last-Event-Id") + " body=" + request.body().length + " bytes");
		this.connections.values().removeIf((other) -> other.socket() == connection.socket());
		this.connections.put(requestId, connection);
		this.most = Math.max(this.most, this.working.incrementAndGet());
		try {
			String head = echo + "X-Lentilslip-Response-Stamp: stamp." + this.id + "\r\nX-Lentilslip-Instance-Load: "
					+ this.working.get() + ",0,64\r\n";
			if (request.header("X-Lentilslip-Token-Usage").isEmpty()) {
				connection.respond(200, head, ("done " + requestId).getBytes(StandardCharsets.ISO_8859_1));
				return;
			}
			connection.send("HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
			String last = request.header("Last-Event-Id");
			int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
			for (int number = first; number <= this.events; number++) {
				Wait.millis(this.gapMillis);
				String event = "id: " + number + "\ndata: " + data(number) + "\n\n";
				connection.send(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
				if (!this.deadly.isEmpty() && number == first + 1
						&& new String(request.body(), StandardCharsets.ISO_8859_1).contains(this.deadly)) {
					Wait.millis(this.gapMillis);
					crash(requestId);
					return;
				}
			}
			connection.send("0\r\n\r\n");
		}
		finally {
			this.working.decrementAndGet();
		}
	}

	private void crash(String requestId) {
		this.record.line("crash", this.id + " crashes under " + requestId);
		close();
		this.onCrash.run();
	}

	/**
	 * Removes the entry of a runner that is silent, as the platform does.
	 */
	void expire() {
		this.store.put("keyed.servers", this.id, "");
	}

	String zone() {
		return this.zone;
	}

	String data(int number) {
		String text = "piece " + number + " of " + this.events + " ";
		return text + "x".repeat(Math.max(0, this.eventBytes - text.length()));
	}

	/**
	 * Returns the open connections whose last request is one of these.
	 */
	Set<String> openConnections(Set<String> requests) {
		this.connections.values().removeIf((connection) -> connection.socket().isClosed());
		Set<String> open = new java.util.HashSet<>(this.connections.keySet());
		open.retainAll(requests);
		return open;
	}

	void reset(String request) throws IOException {
		Web.Connection connection = this.connections.remove(request);
		if (connection != null) {
			connection.reset();
		}
	}

	int mostAtOnce() {
		return this.most;
	}

	@Override
	public void close() {
		this.closed = true;
		this.server.close();
	}

}
