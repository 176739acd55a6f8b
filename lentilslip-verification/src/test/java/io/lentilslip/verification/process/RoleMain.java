package io.lentilslip.verification.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.lentilslip.core.notice.Notice;
import io.lentilslip.entry.Decisions;
import io.lentilslip.entry.EntryProcess;
import io.lentilslip.platform.log.LogService;
import io.lentilslip.platform.vmlist.VmList;
import io.lentilslip.runtime.loop.ProcessContext;
import io.lentilslip.runtime.node.Platform;
import io.lentilslip.runtime.node.StopSignals;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.lentilslip.settings.process.EntrySettings;
import io.lentilslip.settings.process.PlatformAddresses;
import io.lentilslip.settings.process.SettingOverrides;
import io.lentilslip.settings.process.SettingsReader;
import io.lentilslip.settings.process.SidecarSettings;
import io.lentilslip.sidecar.SidecarProcess;
import io.lentilslip.telemetry.LogSettings;
import io.lentilslip.telemetry.Metrics;
import io.lentilslip.telemetry.Notices;
import io.vavr.control.Either;

/**
 * A process of its own that runs one role from a settings file, until it is asked to stop
 * and its work has ended. It prints the ports that it got on one line.
 */
public final class RoleMain {

	static final String ENTRY = "entry";

	static final String SIDECAR = "sidecar";

	static final String READY = "PORTS";

	private RoleMain() {
	}

	/**
	 * Runs a role.
	 * @param arguments the role and the settings file
	 * @throws IOException if a file can't be read
	 */
	public static void main(String[] arguments) throws IOException {
		LogSettings.defaults().apply();
		Notices notices = Notices.ForLogger.ofProcess(arguments[0]);
		Consumer<Notice> sink = notices::write;
		StopSignals signals = StopSignals.ofProcess(arguments[0], sink);
		signals.install();
		Metrics metrics = new Metrics();
		ProcessContext context = ProcessContext.ofSystem(metrics::apply, sink);
		SettingsReader settings = new SettingsReader(Path.of(arguments[1]), SettingOverrides.NONE);
		switch (arguments[0]) {
			case ENTRY -> runEntry(read(settings.readEntry()), metrics, context, signals);
			case SIDECAR -> runSidecar(read(settings.readSidecar()), metrics, context, signals);
			default -> throw new IllegalArgumentException(arguments[0]);
		}
		System.exit(0);
	}

	private static void runEntry(EntrySettings settings, Metrics metrics, ProcessContext context, StopSignals signals)
			throws IOException {
		try (Platform platform = platform(settings.process().platform());
				EntryProcess entry = EntryProcess.start(settings, Decisions.standard(), platform, metrics, context)) {
			announce(entry.callers().getPort(), entry.admin().getPort());
			awaitStop(signals, entry::requestStop);
		}
	}

	private static void runSidecar(SidecarSettings settings, Metrics metrics, ProcessContext context,
			StopSignals signals) throws IOException {
		try (Platform platform = platform(settings.process().platform());
				SidecarProcess sidecar = SidecarProcess.start(settings, platform, metrics, context)) {
			announce(sidecar.linkPort(), sidecar.adminPort());
			awaitStop(signals, sidecar::requestStop);
		}
	}

	private static void awaitStop(StopSignals signals, Stopping stopping) {
		CompletableFuture<Void> ended = new CompletableFuture<>();
		signals.onFirst(() -> stopping.requestStop().thenRun(() -> ended.complete(null)));
		ended.join();
	}

	private static void announce(int work, int admin) {
		System.out.println(READY + " " + work + " " + admin);
		System.out.flush();
	}

	private static Platform platform(PlatformAddresses addresses) {
		return new Platform(new LogService.ForHttp(addresses.logService()), new VmList.ForHttp(addresses.vmList()));
	}

	private static <T> T read(Either<List<ConfigurationProblem>, T> settings) {
		return settings.getOrElseThrow((problems) -> new IllegalArgumentException(problems.toString()));
	}

	/**
	 * A way to ask a process to stop.
	 */
	private interface Stopping {

		CompletableFuture<Void> requestStop();

	}

}
