package review2;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store as PROTOCOL.md describes it: appends, reads and the newest record
 * of each key. Records expire after the retention, the newest of each key never. It
 * acknowledges only what it has kept.
 */
final class Store implements AutoCloseable {

	static final int RECORD_BYTES = 262144;

	static final int CALL_BYTES = 2097152;

	private static final int ANSWER_MS = 4;

	private final ServerSocket server;

	private final Map<String, Partition> partitions = new HashMap<>();

	private final long retentionMillis;

	private long refusedAppends;

	Store(int retentionSeconds) throws IOException {
		this.retentionMillis = retentionSeconds * 1000L;
		this.server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
		Site.daemon(this::accept);
	}

	int retentionSeconds() {
		return (int) (this.retentionMillis / 1000);
	}

	int port() {
		return this.server.getLocalPort();
	}

	synchronized long refusedAppends() {
		return this.refusedAppends;
	}

	synchronized long end(String topic, int part) {
		return partition(topic, part).end();
	}

	/** Writes the newest record of a key, as the operator and the runners do. */
	synchronized void put(String topic, String key, String value) {
		byte[] name = key.getBytes(StandardCharsets.UTF_8);
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		bytes.write(name.length);
		bytes.writeBytes(name);
		bytes.writeBytes(value.getBytes(StandardCharsets.UTF_8));
		partition(topic, 0).add(bytes.toByteArray());
		notifyAll();
	}

	private Partition partition(String topic, int part) {
		Partition found = this.partitions.computeIfAbsent(topic + "/" + part, (name) -> new Partition(topic));
		found.expire(System.currentTimeMillis() - this.retentionMillis);
		return found;
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
			var in = new java.io.BufferedInputStream(socket.getInputStream(), 65536);
			while (true) {
				Wire.Head head = Wire.head(in);
				if (head == null) {
					return;
				}
				byte[] body = Wire.requestBody(head, in);
				String target = head.start.split(" ")[1];
				int mark = target.indexOf('?');
				Map<String, String> query = query((mark < 0) ? "" : target.substring(mark + 1));
				Thread.sleep(ANSWER_MS);
				answer(socket, (mark < 0) ? target : target.substring(0, mark), query, body);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has left.
		}
	}

	private void answer(Socket socket, String path, Map<String, String> query, byte[] body)
			throws IOException, InterruptedException {
		String topic = query.getOrDefault("Topic", "");
		int part = Integer.parseInt(query.getOrDefault("part", "0"));
		switch (path) {
			case "/api/log-append" -> append(socket, topic, part, body);
			case "/api/log-read" -> read(socket, topic, part, query);
			case "/api/log-newest" -> newest(socket, topic);
			default -> send(socket, 404, new byte[0]);
		}
	}

	private void append(Socket socket, String topic, int part, byte[] body) throws IOException {
		List<byte[]> records = new ArrayList<>();
		ByteBuffer buffer = ByteBuffer.wrap(body);
		int total = 0;
		boolean fits = true;
		while (buffer.remaining() >= 4) {
			byte[] next = new byte[buffer.getInt()];
			buffer.get(next);
			records.add(next);
			total += next.length;
			fits = fits && next.length <= RECORD_BYTES;
		}
		if (!fits || total > CALL_BYTES) {
			synchronized (this) {
				this.refusedAppends++;
			}
			send(socket, 413, Wire.bytes("{}"));
			return;
		}
		String answer;
		synchronized (this) {
			Partition partition = partition(topic, part);
			long offset = partition.end();
			records.forEach(partition::add);
			answer = "{\"Offset\":" + offset + ",\"End\":" + partition.end() + "}";
			notifyAll();
		}
		send(socket, 200, Wire.bytes(answer));
	}

	private void read(Socket socket, String topic, int part, Map<String, String> query)
			throws IOException, InterruptedException {
		long from = Long.parseLong(query.getOrDefault("From", "0"));
		long maxBytes = Math.min(1024, Long.parseLong(query.getOrDefault("MaxKb", "1024"))) * 1024;
		long until = System.currentTimeMillis() + Math.min(30_000, Long.parseLong(query.getOrDefault("WaitMs", "0")));
		ByteArrayOutputStream answer = new ByteArrayOutputStream();
		synchronized (this) {
			while (partition(topic, part).end() <= from && System.currentTimeMillis() < until) {
				wait(Math.max(1, until - System.currentTimeMillis()));
			}
			Partition partition = partition(topic, part);
			if (from < partition.first) {
				answer.writeBytes(Wire.bytes("{\"First\":" + partition.first + "}"));
				send(socket, 410, answer.toByteArray());
				return;
			}
			DataOutputStream out = new DataOutputStream(answer);
			out.writeLong(partition.end());
			out.writeLong(partition.first);
			for (long offset = from; offset < partition.end(); offset++) {
				byte[] next = partition.at(offset);
				if (answer.size() > 16 && answer.size() + next.length > maxBytes) {
					break;
				}
				out.writeInt(next.length);
				out.write(next);
			}
		}
		send(socket, 200, answer.toByteArray());
	}

	private void newest(Socket socket, String topic) throws IOException {
		StringBuilder items = new StringBuilder();
		long end;
		synchronized (this) {
			Partition partition = partition(topic, 0);
			end = partition.end();
			partition.newest.forEach((key, found) -> items.append(items.isEmpty() ? "" : ",")
				.append("{\"Key\":\"" + key + "\",\"Value\":\"" + Base64.getEncoder().encodeToString(found.value)
						+ "\",\"Offset\":" + found.offset + "}"));
		}
		send(socket, 200, Wire.bytes("{\"items\":[" + items + "],\"HasMore\":false,\"End\":" + end + "}"));
	}

	private static void send(Socket socket, int status, byte[] body) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		bytes.writeBytes(Wire.bytes("HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\nContent-Length: "
				+ body.length + "\r\n\r\n"));
		bytes.writeBytes(body);
		socket.getOutputStream().write(bytes.toByteArray());
	}

	private static Map<String, String> query(String text) {
		Map<String, String> found = new HashMap<>();
		for (String part : text.split("&")) {
			int equals = part.indexOf('=');
			if (equals > 0) {
				found.put(part.substring(0, equals),
						URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		return found;
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	/** A partition of a topic. */
	private static final class Partition {

		private final boolean keyed;

		private final Deque<Long> times = new ArrayDeque<>();

		private final List<byte[]> records = new ArrayList<>();

		private int dropped;

		private long first;

		private final Map<String, Newest> newest = new TreeMap<>();

		Partition(String topic) {
			this.keyed = topic.startsWith("keyed.");
		}

		long end() {
			return this.first + this.records.size() - this.dropped;
		}

		byte[] at(long offset) {
			return this.records.get((int) (offset - this.first) + this.dropped);
		}

		void add(byte[] value) {
			if (this.keyed) {
				int length = value[0] & 0xff;
				String key = new String(value, 1, length, StandardCharsets.UTF_8);
				byte[] rest = java.util.Arrays.copyOfRange(value, 1 + length, value.length);
				if (rest.length == 0) {
					this.newest.remove(key);
				}
				else {
					this.newest.put(key, new Newest(end(), rest));
				}
			}
			this.records.add(value);
			this.times.add(System.currentTimeMillis());
		}

		void expire(long before) {
			while (!this.times.isEmpty() && this.times.peekFirst() < before) {
				this.times.pollFirst();
				this.records.set(this.dropped, null);
				this.dropped++;
				this.first++;
			}
			if (this.dropped > 1000) {
				this.records.subList(0, this.dropped).clear();
				this.dropped = 0;
			}
		}

	}

	/** The newest record of a key. */
	private record Newest(long offset, byte[] value) {

	}

}
