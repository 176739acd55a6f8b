package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The project's processes, started with the command of the deploy file. Safe for use by
 * one thread.
 */
final class Relays implements AutoCloseable {

	/**
	 * A process of the project on a machine.
	 */
	static final class Relay {

		final String node;

		final int front;

		final int ready;

		private final Path settings;

		private final Path log;

		private Process process;

		private Relay(String node, int front, int ready, Path settings, Path log) {
			this.node = node;
			this.front = front;
			this.ready = ready;
			this.settings = settings;
			this.log = log;
		}

		boolean alive() {
			return this.process.isAlive();
		}

		long pid() {
			return this.process.pid();
		}

		boolean isReady() {
			try (Web.Client client = new Web.Client(this.ready, 1000)) {
				return client.call("GET", "/api/readyz", Map.of("Host", "127.0.0.1"), new byte[0]).status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

	}

	private final Path folder;

	private final int storePort;

	private final Record record;

	private final List<String> zones;

	private final Map<String, Relay> relays = new LinkedHashMap<>();

	Relays(int storePort, List<String> zones, Record record) throws IOException {
		this.folder = Files.createTempDirectory("review");
		this.storePort = storePort;
		this.zones = zones;
		this.record = record;
		Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
	}

	private static List<String> command() throws IOException {
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = \"")) {
				return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" "));
			}
		}
		throw new IOException("no command in the deploy file");
	}

	private static List<Integer> freePorts(int count) throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		List<Integer> ports = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
			sockets.add(socket);
			ports.add(socket.getLocalPort());
		}
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return ports;
	}

	/**
	 * Starts processes for the first time and waits until all are ready.
	 * @param zoneByNode the zones of the machines
	 * @return the processes
	 */
	List<Relay> startAll(Map<String, String> zoneByNode) throws IOException {
		List<Relay> started = new ArrayList<>();
		List<Integer> ports = freePorts(3 * zoneByNode.size());
		for (Map.Entry<String, String> entry : zoneByNode.entrySet()) {
			String node = entry.getKey();
			int index = 3 * started.size();
			Relay relay = new Relay(node, ports.get(index), ports.get(index + 1), this.folder.resolve(node + ".json"),
					this.folder.resolve(node + ".log"));
			writeSettings(relay, entry.getValue(), ports.get(index + 2), true);
			this.relays.put(node, relay);
			started.add(relay);
			start(relay);
		}
		boolean ready = Wait.until(20000, () -> started.stream().allMatch(Relay::isReady));
		if (!ready) {
			throw new IOException("the processes did not get ready");
		}
		// Bootstrap holds for the first start of the whole system only.
		for (Relay relay : started) {
			writeSettings(relay, zoneByNode.get(relay.node), ports.get(3 * started.indexOf(relay) + 2), false);
		}
		return started;
	}

	private void writeSettings(Relay relay, String zone, int links, boolean bootstrap) throws IOException {
		StringBuilder zoneMap = new StringBuilder();
		for (String name : this.zones) {
			zoneMap.append(zoneMap.isEmpty() ? "" : ", ").append("\"" + name + "\": \"ro-sud-est\"");
		}
		Files.writeString(relay.settings, """
				{"Node": "%s", "Role": "relay", "MachineClass": "front", "Serves": ["front"], "Ip": "127.0.0.1",
				"Zone": "%s", "Region": "ro-sud-est", "Zones": {%s},
				"Listen": {"Front": "127.0.0.1:%d", "ReadyAddr": "127.0.0.1:%d"}, "PortRange": [%d, %d], "Seeds": [],
				"Bootstrap": %s, "InTolerance": false,
				"Limits": {"CpuShare": 0.75, "Cores": 2, "MemoryMb": 300, "MaxFds": 8200, "LinkMbps": 1000.0, "DiskMb": 0},
				"DataDir": null, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
				"Contracts": ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"],
				"FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
				"Bounds": {"SeedLagS": 3, "ReuseAfterS": 2, "StableMs": 3000, "AckMs": 4000, "CatchupS": 4.5, "DrainMs": 2000,
				"GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000,
				"RecoveryS": 12, "PassMs": 120, "AgainS": 0, "DeadlineS": 10, "SettleMs": 1000},
				"Platform": {"Address": "127.0.0.1:%d", "form": "log", "WritesPerS": 800, "ReadsPerS": 2000, "parts": 24,
				"AppendMs": 1.0, "PartMbPerS": 20.0, "ReadMbPerS": 80.0, "RecordBytes": 262144, "CallBytes": 2097152,
				"RetentionS": 300, "PartMb": 200, "TtlMinMs": 1000}}
				""".formatted(relay.node, zone, zoneMap, relay.front, relay.ready, links, links, bootstrap, this.storePort));
	}

	void start(Relay relay) throws IOException {
		ProcessBuilder builder = new ProcessBuilder(command());
		builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("LENTILSLIP_SETTINGS", relay.settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(relay.log.toFile()));
		relay.process = builder.start();
		this.record.line("start", relay.node + " process " + relay.pid());
	}

	void kill(Relay relay) {
		this.record.line("kill", relay.node + " SIGKILL to process " + relay.pid());
		relay.process.destroyForcibly();
		Wait.until(2000, () -> !relay.alive());
	}

	void signal(Relay relay, String name) throws Exception {
		this.record.line("signal", relay.node + " " + name + " to process " + relay.pid());
		new ProcessBuilder("kill", "-" + name, Long.toString(relay.pid())).start().waitFor();
	}

	String log(Relay relay) throws IOException {
		return Files.readString(relay.log);
	}

	private void killAll() {
		this.relays.values().forEach((relay) -> {
			if (relay.process != null) {
				relay.process.destroyForcibly();
			}
		});
	}

	@Override
	public void close() {
		killAll();
		this.relays.values().forEach((relay) -> Wait.until(2000, () -> !relay.alive()));
		if ("1".equals(System.getenv("KEEP_LOGS"))) {
			System.out.println("logs in " + this.folder);
			return;
		}
		try (var files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
			Files.delete(this.folder);
		}
		catch (IOException ex) {
			// A temporary folder is left.
		}
	}

}
