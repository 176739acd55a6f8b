package io.lentilslip.application.command;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

import io.lentilslip.application.role.RunningRole;
import io.lentilslip.application.role.StopRequests;
import io.lentilslip.runtime.node.StopSignals;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.lentilslip.settings.process.ProcessSettings;
import io.lentilslip.settings.process.SettingOverrides;
import io.lentilslip.settings.process.SettingsReader;
import io.vavr.control.Either;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * One run of a role, from the settings to the end of the last call. The first request to
 * stop drains the role, a second one ends it at once. A role that is asked to stop before
 * its start is not started; a request that comes during the start is kept and drains it.
 * Used by one thread.
 */
final class RoleRun {

	private static final String SETTINGS = "settings";

	private static final String SET = "set";

	private final StopRequests stops;

	private final Console console;

	/**
	 * Creates a run.
	 * @param stops where requests to stop come from
	 * @param console where problems go
	 */
	RoleRun(StopRequests stops, Console console) {
		this.stops = stops;
		this.console = console;
	}

	/**
	 * Returns the options that both roles have.
	 * @return new options
	 */
	static Options options() {
		return new Options()
			.addOption(Option.builder()
				.longOpt(SETTINGS)
				.hasArg()
				.argName("FILE")
				.required()
				.desc("the settings of this process (INI)")
				.get())
			.addOption(Option.builder()
				.longOpt(SET)
				.hasArg()
				.argName("SECTION.KEY=VALUE")
				.desc("overrides one setting; may stand several times")
				.get());
	}

	/**
	 * Runs a role.
	 * @param <T> the type of its settings
	 * @param arguments the command line
	 * @param role how its settings are read and it is started
	 * @return how the run ended
	 * @throws ParseException if the command line is wrong
	 * @throws InterruptedException if the thread is interrupted
	 */
	<T> ExitCode run(Arguments arguments, Role<T> role) throws ParseException, InterruptedException {
		SettingOverrides overrides = new SettingOverrides(arguments.pairs(SET));
		SettingsReader reader = new SettingsReader(arguments.path(SETTINGS), overrides);
		CompletableFuture<ExitCode> ended = new CompletableFuture<>();
		StopSignals signals = this.stops.take(() -> ended.complete(ExitCode.CUT_OFF));
		Either<List<ConfigurationProblem>, T> settings = role.read(reader);
		if (settings.isLeft()) {
			this.console.problems(settings.getLeft());
			return ExitCode.REFUSED;
		}
		RunningRole.applyLogging(role.process(settings.get()));
		if (signals.isRequested()) {
			return ended.getNow(ExitCode.OK);
		}
		Optional<RunningRole> started = start(role, settings.get());
		if (started.isEmpty()) {
			return ExitCode.UNAVAILABLE;
		}
		try (RunningRole running = started.get()) {
			this.console.out().println(role.process(settings.get()).vm() + ": " + running.addresses());
			signals.onFirst(() -> running.requestStop().whenComplete((done, failure) -> ended.complete(ExitCode.OK)));
			return await(ended);
		}
	}

	private <T> Optional<RunningRole> start(Role<T> role, T settings) {
		try {
			return Optional.of(role.start(settings));
		}
		catch (IOException | RuntimeException ex) {
			this.console.error("can't start: " + ex);
			return Optional.empty();
		}
	}

	private static ExitCode await(CompletableFuture<ExitCode> ended) throws InterruptedException {
		try {
			return ended.get();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex.getCause());
		}
	}

	/**
	 * How a role is made from settings. Implementations are safe for use by several
	 * threads.
	 *
	 * @param <T> the type of its settings
	 */
	interface Role<T> {

		/**
		 * Reads the settings.
		 * @param reader what reads
		 * @return all problems on the left, or the settings on the right
		 */
		Either<List<ConfigurationProblem>, T> read(SettingsReader reader);

		/**
		 * Returns the settings that both roles have.
		 * @param settings the settings
		 * @return the part of them
		 */
		ProcessSettings process(T settings);

		/**
		 * Starts the role.
		 * @param settings its settings
		 * @return the role, whose ports are open
		 * @throws IOException if a file can't be read
		 */
		RunningRole start(T settings) throws IOException;

	}

}
