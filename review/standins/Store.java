package review;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's store: a log with topics, as PROTOCOL.md describes it. Safe
 * for use by several threads.
 */
final class Store implements AutoCloseable {

	static final int RECORD_BYTES = 262144;

	static final int CALL_BYTES = 2097152;

	private static final int KILOBYTE = 1024;

	private final Map<String, List<byte[]>> partitions = new HashMap<>();

	private final Web.Server server;

	private volatile boolean down;

	Store() throws IOException {
		this.server = new Web.Server(this::handle);
	}

	int port() {
		return this.server.port();
	}

	/**
	 * Makes the store answer all calls with 503, or serve again.
	 */
	void setDown(boolean down) {
		this.down = down;
	}

	/**
	 * Writes a record with a key, as the operator and the runners do.
	 */
	void put(String topic, String key, String value) {
		byte[] name = key.getBytes(StandardCharsets.UTF_8);
		byte[] text = value.getBytes(StandardCharsets.UTF_8);
		byte[] content = new byte[1 + name.length + text.length];
		content[0] = (byte) name.length;
		System.arraycopy(name, 0, content, 1, name.length);
		System.arraycopy(text, 0, content, 1 + name.length, text.length);
		synchronized (this) {
			partition(topic, 0).add(content);
			notifyAll();
		}
	}

	synchronized String sizes(String topic) {
		StringBuilder sizes = new StringBuilder();
		this.partitions.forEach((name, records) -> {
			if (name.startsWith(topic)) {
				sizes.append(name)
					.append(": ")
					.append(records.size())
					.append(" records, ")
					.append(records.stream().mapToLong((content) -> content.length).sum())
					.append(" bytes; ");
			}
		});
		return sizes.toString();
	}

	/**
	 * Returns the partitions of a topic with a record that contains a text.
	 */
	synchronized List<String> find(String topic, String text) {
		List<String> found = new ArrayList<>();
		this.partitions.forEach((name, records) -> {
			if (name.startsWith(topic) && records.stream()
				.anyMatch((content) -> new String(content, StandardCharsets.ISO_8859_1).contains(text))) {
				found.add(name);
			}
		});
		return found;
	}

	private List<byte[]> partition(String topic, long part) {
		return this.partitions.computeIfAbsent(topic + "/" + part, (name) -> new ArrayList<>());
	}

	private void handle(Web.Message request, Web.Connection connection) throws Exception {
		if (this.down) {
			connection.respond(503, "Content-Type: application/json\r\n", "{}".getBytes(StandardCharsets.UTF_8));
			return;
		}
		String topic = request.parameter("Topic", "");
		long part = request.number("part", 0);
		switch (request.path()) {
			case "/api/log-append" -> append(request, connection, topic, part);
			case "/api/log-read" -> read(request, connection, topic, part);
			case "/api/log-newest" -> newest(request, connection, topic);
			default -> connection.respond(404, "", new byte[0]);
		}
	}

	private void append(Web.Message request, Web.Connection connection, String topic, long part) throws IOException {
		List<byte[]> records = new ArrayList<>();
		ByteBuffer body = ByteBuffer.wrap(request.body());
		int total = 0;
		while (body.hasRemaining()) {
			byte[] content = new byte[body.getInt()];
			body.get(content);
			records.add(content);
			total += content.length;
			if (content.length > RECORD_BYTES) {
				connection.respond(413, "", new byte[0]);
				return;
			}
		}
		if (total > CALL_BYTES) {
			connection.respond(413, "", new byte[0]);
			return;
		}
		String answer;
		synchronized (this) {
			List<byte[]> partition = partition(topic, part);
			int offset = partition.size();
			partition.addAll(records);
			answer = "{\"Offset\":" + offset + ",\"End\":" + partition.size() + "}";
			notifyAll();
		}
		connection.respond(200, "Content-Type: application/json\r\n", answer.getBytes(StandardCharsets.UTF_8));
	}

	private void read(Web.Message request, Web.Connection connection, String topic, long part) throws Exception {
		long from = request.number("From", 0);
		long until = System.currentTimeMillis() + request.number("WaitMs", 0);
		long mostBytes = KILOBYTE * request.number("MaxKb", KILOBYTE);
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		synchronized (this) {
			while (partition(topic, part).size() <= from && System.currentTimeMillis() < until && !this.down) {
				wait(Math.max(1, Math.min(20, until - System.currentTimeMillis())));
			}
			List<byte[]> records = partition(topic, part);
			DataOutputStream out = new DataOutputStream(bytes);
			out.writeLong(records.size());
			out.writeLong(0);
			for (long offset = from; offset < records.size(); offset++) {
				byte[] content = records.get((int) offset);
				if (offset > from && bytes.size() + content.length > mostBytes) {
					break;
				}
				out.writeInt(content.length);
				out.write(content);
			}
		}
		if (this.down) {
			connection.respond(503, "", new byte[0]);
			return;
		}
		connection.respond(200, "", bytes.toByteArray());
	}

	private void newest(Web.Message request, Web.Connection connection, String topic) throws IOException {
		StringBuilder items = new StringBuilder();
		int end;
		synchronized (this) {
			List<byte[]> records = partition(topic, 0);
			end = records.size();
			Map<String, Integer> newest = new TreeMap<>();
			for (int offset = 0; offset < end; offset++) {
				byte[] content = records.get(offset);
				String key = new String(content, 1, content[0] & 0xff, StandardCharsets.UTF_8);
				if (content.length == 1 + (content[0] & 0xff)) {
					newest.remove(key);
				}
				else {
					newest.put(key, offset);
				}
			}
			newest.forEach((key, offset) -> {
				byte[] content = records.get(offset);
				int start = 1 + (content[0] & 0xff);
				byte[] value = java.util.Arrays.copyOfRange(content, start, content.length);
				items.append(items.isEmpty() ? "" : ",")
					.append("{\"Key\":\"" + key + "\",\"Value\":\"" + Base64.getEncoder().encodeToString(value) + "\",\"Offset\":"
							+ offset + "}");
			});
		}
		connection.respond(200, "Content-Type: application/json\r\n",
				("{\"items\":[" + items + "],\"HasMore\":false,\"End\":" + end + "}").getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public void close() {
		this.server.close();
	}

}
