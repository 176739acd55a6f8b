package io.lentilslip.application.role;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

import io.lentilslip.client.log.LogService;
import io.lentilslip.client.vmlist.VmList;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.entry.Decisions;
import io.lentilslip.entry.EntryProcess;
import io.lentilslip.runtime.loop.ProcessContext;
import io.lentilslip.runtime.node.Platform;
import io.lentilslip.settings.process.EntrySettings;
import io.lentilslip.settings.process.PlatformAddresses;
import io.lentilslip.settings.process.ProcessSettings;
import io.lentilslip.settings.process.SidecarSettings;
import io.lentilslip.sidecar.SidecarProcess;
import io.lentilslip.telemetry.LogSettings;
import io.lentilslip.telemetry.Metrics;
import io.lentilslip.telemetry.Notices;

/**
 * A role that runs, with the clients of the platform's services that it uses. Closing it
 * ends all of that. Implementations are safe for use by several threads.
 */
public interface RunningRole extends AutoCloseable {

	/**
	 * Returns a line that tells where the role listens.
	 * @return the line, for people
	 */
	String addresses();

	/**
	 * Begins to drain the role.
	 * @return a stage that completes once all work has ended or the drain time is over
	 */
	CompletableFuture<Void> requestStop();

	@Override
	void close();

	/**
	 * Puts the logging that settings ask for in force for this Java process.
	 * @param settings the settings
	 */
	static void applyLogging(ProcessSettings settings) {
		LogSettings.Form form = LogSettings.Form.valueOf(settings.logging().format().name());
		NoticeCode.Level level = NoticeCode.Level.valueOf(settings.logging().level().name());
		LogSettings.defaults().as(form).from(level).apply();
	}

	private static ProcessContext context(ProcessSettings settings, Metrics metrics) {
		Notices notices = new Notices.Counted(metrics, Notices.ForLogger.ofProcess(settings.vm().value()));
		return ProcessContext.ofSystem(metrics::apply, notices::write);
	}

	private static Platform platform(PlatformAddresses addresses) {
		return new Platform(new LogService.ForHttp(addresses.logService()), new VmList.ForHttp(addresses.vmList()));
	}

	/**
	 * An entry. Safe for use by several threads.
	 */
	final class Entry implements RunningRole {

		private final Platform platform;

		private final EntryProcess process;

		private Entry(Platform platform, EntryProcess process) {
			this.platform = platform;
			this.process = process;
		}

		/**
		 * Starts an entry.
		 * @param settings its settings
		 * @return the entry, whose ports are open
		 * @throws IOException if the file with the shared secret can't be read
		 */
		public static Entry start(EntrySettings settings) throws IOException {
			Metrics metrics = new Metrics();
			Platform platform = platform(settings.process().platform());
			try {
				return new Entry(platform, EntryProcess.start(settings, Decisions.standard(), platform, metrics,
						context(settings.process(), metrics)));
			}
			catch (IOException | RuntimeException ex) {
				platform.close();
				throw ex;
			}
		}

		/**
		 * Returns the process.
		 * @return the process
		 */
		public EntryProcess process() {
			return this.process;
		}

		@Override
		public String addresses() {
			return "callers " + this.process.callers().getAddress().getHostAddress() + ":"
					+ this.process.callers().getPort() + ", admin " + this.process.admin().getAddress().getHostAddress()
					+ ":" + this.process.admin().getPort();
		}

		@Override
		public CompletableFuture<Void> requestStop() {
			return this.process.requestStop();
		}

		@Override
		public void close() {
			this.process.close();
			this.platform.close();
		}

	}

	/**
	 * A sidecar. Safe for use by several threads.
	 */
	final class Sidecar implements RunningRole {

		private final SidecarSettings settings;

		private final Platform platform;

		private final SidecarProcess process;

		private Sidecar(SidecarSettings settings, Platform platform, SidecarProcess process) {
			this.settings = settings;
			this.platform = platform;
			this.process = process;
		}

		/**
		 * Starts a sidecar.
		 * @param settings its settings
		 * @return the sidecar, whose ports are open
		 * @throws IOException if the file with the shared secret can't be read
		 */
		public static Sidecar start(SidecarSettings settings) throws IOException {
			Metrics metrics = new Metrics();
			Platform platform = platform(settings.process().platform());
			try {
				return new Sidecar(settings, platform,
						SidecarProcess.start(settings, platform, metrics, context(settings.process(), metrics)));
			}
			catch (IOException | RuntimeException ex) {
				platform.close();
				throw ex;
			}
		}

		/**
		 * Returns the process.
		 * @return the process
		 */
		public SidecarProcess process() {
			return this.process;
		}

		@Override
		public String addresses() {
			return "links " + this.settings.process().links().ip() + ":" + this.process.linkPort() + ", admin "
					+ this.settings.process().admin().ip() + ":" + this.process.adminPort();
		}

		@Override
		public CompletableFuture<Void> requestStop() {
			return this.process.requestStop();
		}

		@Override
		public void close() {
			this.process.close();
			this.platform.close();
		}

	}

}
