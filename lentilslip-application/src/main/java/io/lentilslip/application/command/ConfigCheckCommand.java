package io.lentilslip.application.command;

import java.nio.file.Path;
import java.util.List;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.settings.folder.ConfigurationFolder;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.vavr.control.Either;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Checks a folder without publishing it. Stateless and safe for use by several threads.
 */
final class ConfigCheckCommand implements Command {

	@Override
	public List<String> words() {
		return List.of("config", "check");
	}

	@Override
	public List<String> parameters() {
		return List.of("DIR");
	}

	@Override
	public String description() {
		return """
				Checks a folder of configuration files.
				Every problem is told with file, line, key and what was expected.""";
	}

	@Override
	public Options options() {
		return new Options();
	}

	@Override
	public ExitCode run(Arguments arguments, Console console) throws ParseException {
		Path folder = arguments.path(0);
		Either<List<ConfigurationProblem>, Configuration> read = new ConfigurationFolder(folder).readConfiguration();
		if (read.isLeft()) {
			console.problems(read.getLeft());
			return ExitCode.REFUSED;
		}
		Configuration configuration = read.get();
		console.out()
			.println(folder + ": site " + configuration.site() + ", " + configuration.groups().size() + " groups, "
					+ configuration.callers().size() + " callers, " + configuration.models().size() + " models, "
					+ configuration.services().size() + " services, " + configuration.upstreams().size()
					+ " upstreams; no problems");
		return ExitCode.OK;
	}

}
