package io.lentilslip.verification.process;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import io.lentilslip.application.LentilslipApplication;

/**
 * A process of a site, which the test started and ends by its id. Used by one thread.
 */
public final class RunningProcess implements AutoCloseable {

	private static final List<String> SMALL = List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
			"--enable-native-access=ALL-UNNAMED");

	private static final int LOG_TAIL = 6000;

	static final String ENTRY = "entry";

	static final String SIDECAR = "sidecar";

	private final String vm;

	private final Path log;

	private final Process process;

	private final Pattern addresses;

	private InetSocketAddress work;

	private InetSocketAddress admin;

	private RunningProcess(String vm, Path log, Process process) {
		this.vm = vm;
		this.log = log;
		this.process = process;
		this.addresses = Pattern
			.compile(Pattern.quote(vm) + ": (?:callers|links) 127\\.0\\.0\\.1:(\\d+), admin 127\\.0\\.0\\.1:(\\d+)");
	}

	static RunningProcess start(String role, String vm, Path settings, Path log) throws IOException {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(SMALL);
		command.addAll(List.of("-cp", System.getProperty("java.class.path"), LentilslipApplication.class.getName(),
				role, "--settings", settings.toString()));
		Process process = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
			.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")))
			.start();
		return new RunningProcess(vm, log, process);
	}

	void awaitPorts() {
		Waiting.until("the ports of " + this.vm, () -> {
			if (!this.process.isAlive()) {
				throw new AssertionError(this.vm + " ended:\n" + tail());
			}
			Optional<Matcher> line = Files.readAllLines(this.log)
				.stream()
				.map(this.addresses::matcher)
				.filter(Matcher::matches)
				.findFirst();
			line.ifPresent((match) -> {
				this.work = new InetSocketAddress("127.0.0.1", Integer.parseInt(match.group(1)));
				this.admin = new InetSocketAddress("127.0.0.1", Integer.parseInt(match.group(2)));
			});
			return line.isPresent();
		});
	}

	/**
	 * Returns the name of the VM.
	 * @return the name
	 */
	public String vm() {
		return this.vm;
	}

	/**
	 * Returns the address for callers of an entry, or for links of a sidecar.
	 * @return the address
	 */
	public InetSocketAddress work() {
		return this.work;
	}

	/**
	 * Returns what the admin port shows of the process.
	 * @return the status
	 */
	public JsonNode status() {
		return Http.json(Http.get(this.admin, "/status"));
	}

	/**
	 * Returns whether the process takes work.
	 * @return whether it is healthy
	 */
	public boolean isHealthy() {
		return Http.get(this.admin, "/health").statusCode() == 200;
	}

	/**
	 * Ends the process at once, as the death of its VM would.
	 */
	public void kill() {
		this.process.destroyForcibly();
		awaitEnd();
	}

	/**
	 * Asks the process to stop, by SIGTERM.
	 */
	public void terminate() {
		signal("TERM");
	}

	/**
	 * Pauses the process, as the freeze of its VM would.
	 */
	public void pause() {
		signal("STOP");
	}

	/**
	 * Lets a paused process go on.
	 */
	public void resume() {
		signal("CONT");
	}

	// Process.destroy would do for TERM, but not say which signal it sends.
	private void signal(String name) {
		try {
			Process sender = new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start();
			if (sender.waitFor() != 0) {
				throw new AssertionError("can't send " + name + " to " + this.vm);
			}
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new AssertionError(ex);
		}
	}

	/**
	 * Returns whether the process lives.
	 * @return whether it has not ended
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Waits for the end of the process.
	 * @return its exit status
	 */
	public int awaitEnd() {
		try {
			if (!this.process.waitFor(60, TimeUnit.SECONDS)) {
				throw new AssertionError(this.vm + " does not end");
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new AssertionError(ex);
		}
	}

	String tail() {
		try {
			String text = Files.readString(this.log);
			return text.substring(Math.max(0, text.length() - LOG_TAIL));
		}
		catch (IOException ex) {
			return ex.toString();
		}
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
	}

}
