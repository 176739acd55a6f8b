package io.lentilslip.application.command;

import java.util.List;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.runtime.configuration.ConfigurationLookup.Outcome;
import io.lentilslip.settings.folder.ConfigurationDifference;
import io.lentilslip.settings.folder.ConfigurationFolder;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.vavr.control.Either;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Shows what publishing a folder would change. Stateless and safe for use by several
 * threads.
 */
final class ConfigDiffCommand implements Command {

	@Override
	public List<String> words() {
		return List.of("config", "diff");
	}

	@Override
	public List<String> parameters() {
		return List.of("DIR");
	}

	@Override
	public String description() {
		return """
				Shows how a folder differs from the configuration in force.
				Defaults are in place, so a key that is spelled out with its default is no difference.""";
	}

	@Override
	public Options options() {
		return new Options().addOption(LogAccess.option());
	}

	@Override
	public ExitCode run(Arguments arguments, Console console) throws ParseException, InterruptedException {
		Either<List<ConfigurationProblem>, Configuration> folder = new ConfigurationFolder(arguments.path(0))
			.readConfiguration();
		if (folder.isLeft()) {
			console.problems(folder.getLeft());
			return ExitCode.REFUSED;
		}
		Outcome outcome = LogAccess.lookUp(arguments);
		if (!(outcome instanceof Outcome.InForce inForce)) {
			return LogAccess.explain(outcome, console);
		}
		ConfigurationDifference difference = ConfigurationDifference.between(inForce.version().configuration(),
				folder.get());
		if (difference.isEmpty()) {
			console.out().println("no difference from version " + inForce.version().version());
			return ExitCode.OK;
		}
		console.out().println("against version " + inForce.version().version() + ":");
		difference.lines().forEach(console.out()::println);
		return ExitCode.OK;
	}

}
