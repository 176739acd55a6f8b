package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, runners, relays and clients. */
final class Site implements AutoCloseable {

	static final String HOST = "ficu95.example";

	final Path repository = Path.of("").toAbsolutePath();

	final Path folder;

	final Record record;

	final Store store;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final List<Relay> relays = new ArrayList<>();

	private final List<Runner> runners = new ArrayList<>();

	Site(Path caseFolder, int storeRetentionSeconds) throws IOException {
		this.folder = Files.createTempDirectory("lentilslip-review");
		this.record = new Record(caseFolder);
		this.store = new Store(storeRetentionSeconds);
		Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
	}

	/** The verdict of a case. */
	enum Verdict {

		HELD(0), BROKEN(10);

		final int code;

		Verdict(int code) {
			this.code = code;
		}

	}

	/** A case. */
	interface Scenario {

		Verdict play(Site site) throws Exception;

	}

	/** Plays a case and ends this process: 0 if the rule held, 10 if not, 2 if it couldn't run. */
	static void play(String caseFolder, int storeRetentionSeconds, Scenario scenario) {
		int code = 2;
		try {
			Site site = new Site(Path.of(caseFolder), storeRetentionSeconds);
			try {
				site.record.add("trouble  " + (site.trouble ? "on" : "off"));
				Verdict verdict = scenario.play(site);
				site.record.add("verdict  " + verdict);
				System.out.println(caseFolder + ": " + verdict);
				code = verdict.code;
			}
			catch (Throwable ex) {
				site.record.add("verdict  could not run: " + ex);
				ex.printStackTrace();
			}
			finally {
				site.close();
			}
		}
		catch (Throwable ex) {
			ex.printStackTrace();
		}
		Runtime.getRuntime().exit(code);
	}

	Relay relay(String name, String zone, boolean bootstrap) throws IOException {
		Relay relay = new Relay(this, name, zone, bootstrap);
		this.relays.add(relay);
		return relay;
	}

	Runner runner(String id, String service) throws IOException {
		Runner runner = new Runner(this, id, service);
		this.runners.add(runner);
		return runner;
	}

	/** Returns whether some runner has run a request. */
	boolean ran(String id) {
		return this.runners.stream().flatMap((runner) -> runner.runs().stream()).anyMatch((run) -> run.id().equals(id));
	}

	/** Writes a configuration, as the operator does. */
	void configure(int version, String routes, String services) {
		this.record.add("operator version " + version);
		this.store.put("keyed.op", "config", """
				{"Version":%d,"Routes":[%s],"Services":[%s],\
				"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"""
			.formatted(version, routes, services));
	}

	/** A route, with the figures of the small site. */
	static String route(String prefix, String kind, String service, String extra) {
		int timeout = kind.equals("streaming") ? 4000 : 3000;
		int target = kind.equals("streaming") ? 200 : 400;
		return """
				{"Name":"r-%s","Host":"%s","PathPrefix":"/%s/","Kind":"%s","TimeoutMs":%d,"TargetLatencyMs":%d,"Priority":0,"Service":"%s"%s}"""
			.formatted(prefix, HOST, prefix, kind, timeout, target, service, extra);
	}

	static String engine(String name) {
		return """
				{"Name":"%s","HealthPath":"/healthz","MaxConns":370,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":1049888,"KvTokenBytes":18432,"LinkMbps":1500000.0,"Moves":true,"Backups":true,"Stride":15,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"m"}]}}"""
			.formatted(name);
	}

	static String plain(String name) {
		return """
				{"Name":"%s","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}""".formatted(name);
	}

	/** The command of the role relay in the deploy file. */
	static String command() throws IOException {
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = \"")) {
				return line.substring("run = \"".length(), line.lastIndexOf('"'));
			}
		}
		throw new IOException("no command in deploy/system.toml");
	}

	static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return socket.getLocalPort();
		}
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static Thread daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private void endAll() {
		this.relays.forEach(Relay::end);
	}

	@Override
	public void close() throws IOException {
		endAll();
		for (Runner runner : this.runners) {
			runner.close();
		}
		this.store.close();
		this.record.close();
		if (System.getenv("KEEP") != null) {
			System.err.println("kept: " + this.folder);
			return;
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
	}

}
