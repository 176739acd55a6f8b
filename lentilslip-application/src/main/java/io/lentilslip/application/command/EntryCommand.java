package io.lentilslip.application.command;

import java.io.IOException;
import java.util.List;

import io.lentilslip.application.role.RunningRole;
import io.lentilslip.application.role.StopRequests;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.lentilslip.settings.process.EntrySettings;
import io.lentilslip.settings.process.ProcessSettings;
import io.lentilslip.settings.process.SettingsReader;
import io.vavr.control.Either;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Runs an entry until it is asked to stop. Immutable and safe for use by several threads.
 */
final class EntryCommand implements Command {

	private final StopRequests stops;

	/**
	 * Creates the command.
	 * @param stops where requests to stop come from
	 */
	EntryCommand(StopRequests stops) {
		this.stops = stops;
	}

	@Override
	public List<String> words() {
		return List.of("entry");
	}

	@Override
	public String description() {
		return """
				Runs an entry: takes callers' requests and finds the sidecar for each.
				It runs on an entry VM until a signal asks it to stop.""";
	}

	@Override
	public Options options() {
		return RoleRun.options();
	}

	@Override
	public ExitCode run(Arguments arguments, Console console) throws ParseException, InterruptedException {
		return new RoleRun(this.stops, console).run(arguments, new EntryRole());
	}

	/**
	 * How an entry is made from settings. Stateless and safe for use by several threads.
	 */
	private static final class EntryRole implements RoleRun.Role<EntrySettings> {

		@Override
		public Either<List<ConfigurationProblem>, EntrySettings> read(SettingsReader reader) {
			return reader.readEntry();
		}

		@Override
		public ProcessSettings process(EntrySettings settings) {
			return settings.process();
		}

		@Override
		public RunningRole start(EntrySettings settings) throws IOException {
			return RunningRole.Entry.start(settings);
		}

	}

}
