package io.lentilslip.application.command;

import java.util.List;
import java.util.Optional;
import java.util.UUID;

import io.lentilslip.client.log.LogService;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.runtime.configuration.Base;
import io.lentilslip.runtime.configuration.ConfigurationPublisher;
import io.lentilslip.runtime.configuration.PublicationOutcome;
import io.lentilslip.runtime.loop.Pause;
import io.lentilslip.runtime.loop.SeedSource;
import io.lentilslip.settings.folder.ConfigurationFolder;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.vavr.control.Either;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Publishes a folder and says truthfully what became of it: won, lost to another
 * operator's version, not published, or unknown. Stateless and safe for use by several
 * threads.
 */
final class ConfigPublishCommand implements Command {

	private static final String BASE = "base";

	private static final String PUBLICATION = "publication";

	@Override
	public List<String> words() {
		return List.of("config", "publish");
	}

	@Override
	public List<String> parameters() {
		return List.of("DIR");
	}

	@Override
	public String description() {
		return """
				Publishes a folder: checked whole, and in force in all processes within seconds.
				Of two operators who publish from the same version one wins and the other is told. If the outcome
				is unknown, repeat the command with the --publication that it names: it counts once.""";
	}

	@Override
	public Options options() {
		return new Options().addOption(LogAccess.option())
			.addOption(Option.builder()
				.longOpt(BASE)
				.hasArg()
				.argName("VERSION")
				.desc("the version that the folder was made from, -1 for none (default: the newest)")
				.get())
			.addOption(Option.builder()
				.longOpt(PUBLICATION)
				.hasArg()
				.argName("ID")
				.desc("repeats a publication whose outcome is unknown")
				.get());
	}

	@Override
	public ExitCode run(Arguments arguments, Console console) throws ParseException, InterruptedException {
		Base base = base(arguments);
		UUID publication = publication(arguments);
		Either<List<ConfigurationProblem>, ConfigurationSource> source = new ConfigurationFolder(arguments.path(0))
			.readSource();
		if (source.isLeft()) {
			console.problems(source.getLeft());
			return ExitCode.REFUSED;
		}
		try (LogService log = LogAccess.open(arguments)) {
			ConfigurationPublisher publisher = new ConfigurationPublisher(log, SeedSource.ofSystem(), Pause.ofThread());
			return tell(publisher.publish(source.get(), base, publication), console);
		}
	}

	private static Base base(Arguments arguments) throws ParseException {
		Optional<String> text = arguments.text(BASE);
		if (text.isEmpty()) {
			return new Base.Newest();
		}
		try {
			return new Base.Version(Long.parseLong(text.get()));
		}
		catch (IllegalArgumentException ex) {
			throw new ParseException("--" + BASE + ": found '" + text.get() + "', expected a version, or -1 for none");
		}
	}

	private static UUID publication(Arguments arguments) throws ParseException {
		Optional<String> text = arguments.text(PUBLICATION);
		if (text.isEmpty()) {
			return UUID.randomUUID();
		}
		try {
			return UUID.fromString(text.get());
		}
		catch (IllegalArgumentException ex) {
			throw new ParseException("--" + PUBLICATION + ": found '" + text.get() + "', expected a UUID");
		}
	}

	private static ExitCode tell(PublicationOutcome outcome, Console console) {
		return switch (outcome) {
			case PublicationOutcome.Won won -> {
				console.out().println("published as version " + won.version());
				yield ExitCode.OK;
			}
			case PublicationOutcome.LostTo lost -> {
				console.error("lost to version " + lost.version()
						+ ", which took effect first; nothing was published. Compare by 'config diff' and publish again");
				yield ExitCode.LOST;
			}
			case PublicationOutcome.Invalid invalid -> {
				console.problems(invalid.problems());
				yield ExitCode.REFUSED;
			}
			case PublicationOutcome.NotPublished refused -> {
				console.error("not published: " + refused.reason());
				yield ExitCode.UNAVAILABLE;
			}
			case PublicationOutcome.Unknown unknown -> {
				console.error("unknown whether published: " + unknown.reason() + ". Repeat with --" + PUBLICATION + " "
						+ unknown.publication());
				yield ExitCode.OUTCOME_UNKNOWN;
			}
		};
	}

}
