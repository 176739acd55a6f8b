package io.lentilslip.application.command;

import java.io.IOException;
import java.util.List;

import io.lentilslip.application.role.RunningRole;
import io.lentilslip.application.role.StopRequests;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.lentilslip.settings.process.ProcessSettings;
import io.lentilslip.settings.process.SettingsReader;
import io.lentilslip.settings.process.SidecarSettings;
import io.vavr.control.Either;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Runs a sidecar until it is asked to stop. Immutable and safe for use by several
 * threads.
 */
final class SidecarCommand implements Command {

	private final StopRequests stops;

	/**
	 * Creates the command.
	 * @param stops where requests to stop come from
	 */
	SidecarCommand(StopRequests stops) {
		this.stops = stops;
	}

	@Override
	public List<String> words() {
		return List.of("sidecar");
	}

	@Override
	public String description() {
		return """
				Runs a sidecar: all work for the upstream beside it passes through it.
				It runs on the upstream's VM until a signal asks it to stop.""";
	}

	@Override
	public Options options() {
		return RoleRun.options();
	}

	@Override
	public ExitCode run(Arguments arguments, Console console) throws ParseException, InterruptedException {
		return new RoleRun(this.stops, console).run(arguments, new SidecarRole());
	}

	/**
	 * How a sidecar is made from settings. Stateless and safe for use by several threads.
	 */
	private static final class SidecarRole implements RoleRun.Role<SidecarSettings> {

		@Override
		public Either<List<ConfigurationProblem>, SidecarSettings> read(SettingsReader reader) {
			return reader.readSidecar();
		}

		@Override
		public ProcessSettings process(SidecarSettings settings) {
			return settings.process();
		}

		@Override
		public RunningRole start(SidecarSettings settings) throws IOException {
			return RunningRole.Sidecar.start(settings);
		}

	}

}
