package io.lentilslip.application.command;

import java.util.List;

import io.lentilslip.runtime.configuration.ConfigurationLookup.Outcome;
import io.lentilslip.runtime.configuration.PublishedVersion;
import io.lentilslip.settings.folder.ConfigurationDescription;
import io.lentilslip.wire.codec.ConfigurationRecordCodec;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Shows the configuration in force. Stateless and safe for use by several threads.
 */
final class ConfigShowCommand implements Command {

	@Override
	public List<String> words() {
		return List.of("config", "show");
	}

	@Override
	public String description() {
		return """
				Shows the configuration in force, defaults included.
				A comment before each key names the file and line that it came from. The output is itself a file
				that can be published.""";
	}

	@Override
	public Options options() {
		return new Options().addOption(LogAccess.option());
	}

	@Override
	public ExitCode run(Arguments arguments, Console console) throws ParseException, InterruptedException {
		Outcome outcome = LogAccess.lookUp(arguments);
		if (!(outcome instanceof Outcome.InForce inForce)) {
			return LogAccess.explain(outcome, console);
		}
		PublishedVersion version = inForce.version();
		console.out().println("# version " + version.version());
		if (inForce.head() != version.version()) {
			console.error("processes refused version " + inForce.head() + " for its problems; publish from it");
		}
		console.out()
			.println(ConfigurationRecordCodec.decode(version.record().toBytes())
				.map((published) -> ConfigurationDescription.of(version.configuration())
					.textWithOrigins(published.files()))
				.get());
		return ExitCode.OK;
	}

}
