package io.lentilslip.verification.path;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;

import io.lentilslip.telemetry.LogSettings;
import io.lentilslip.verification.path.LoadClient.CallKind;
import io.lentilslip.verification.path.LoadClient.Measured;

/**
 * The measurement of what an entry and a sidecar add to a call: straight to an engine
 * stand-in against through both, in one run. Started by {@code bin/benchmark-path}, which
 * starts the processes. Not safe for use by several threads.
 */
public final class PathBenchmark {

	private static final Duration STAND_INS_RUN = Duration.ofMinutes(5);

	private static final int WARM_UP_CALLS = 20_000;

	private static final int WARM_UP_CALLERS = 16;

	private static final int CALLS = 20_000;

	private static final int MOST_CALLERS = 64;

	private static final int OPEN_LOOP_SECONDS = 10;

	private static final int PARAMETERS = 3;

	private final PrintStream out;

	private PathBenchmark(PrintStream out) {
		this.out = out;
	}

	/**
	 * Runs one step of the benchmark.
	 * @param arguments the step ({@code prepare}, {@code standins} or {@code measure}),
	 * the folder of the settings and the first port
	 * @throws IOException if a file can't be written
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		if (arguments.length != PARAMETERS) {
			throw new IllegalArgumentException("expected: prepare|standins|measure FOLDER PORT");
		}
		LogSettings.defaults().apply();
		BenchmarkSite site = new BenchmarkSite(Path.of(arguments[1]), Integer.parseInt(arguments[2]));
		switch (arguments[0]) {
			case "prepare" -> {
				site.writeSettings();
				site.writeConfiguration();
			}
			case "standins" -> StandIns.runFor(site, STAND_INS_RUN);
			case "measure" -> new PathBenchmark(System.out).measure(site);
			default -> throw new IllegalArgumentException("unknown step: " + arguments[0]);
		}
	}

	private void measure(BenchmarkSite site) throws InterruptedException {
		try (LoadClient straight = new LoadClient(site.enginePort());
				LoadClient through = new LoadClient(site.callersPort())) {
			this.out.println("| calls | load | way | answered | errors | calls/s | p50 ms | p99 ms |");
			this.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
			for (CallKind kind : CallKind.values()) {
				straight.closedLoop(WARM_UP_CALLERS, WARM_UP_CALLS, kind);
				through.closedLoop(WARM_UP_CALLERS, WARM_UP_CALLS, kind);
				print(kind, "1 caller", "straight", straight.closedLoop(1, CALLS / 4, kind));
				print(kind, "1 caller", "through", through.closedLoop(1, CALLS / 4, kind));
				print(kind, MOST_CALLERS + " callers", "straight", straight.closedLoop(MOST_CALLERS, CALLS, kind));
				Measured most = through.closedLoop(MOST_CALLERS, CALLS, kind);
				print(kind, MOST_CALLERS + " callers", "through", most);
				double half = most.callsPerSecond() / 2;
				int calls = (int) (half * OPEN_LOOP_SECONDS);
				print(kind, "half load", "straight", straight.openLoop(half, calls, kind));
				print(kind, "half load", "through", through.openLoop(half, calls, kind));
			}
		}
	}

	private void print(CallKind kind, String load, String way, Measured measured) {
		this.out.printf(Locale.ROOT, "| %s | %s | %s | %d | %d | %.0f | %.3f | %.3f |%n",
				kind.name().toLowerCase(Locale.ROOT), load, way, measured.answered(), measured.errors(),
				measured.callsPerSecond(), milliseconds(measured.median()), milliseconds(measured.p99()));
	}

	private static double milliseconds(long microseconds) {
		return microseconds / 1000.0;
	}

}
