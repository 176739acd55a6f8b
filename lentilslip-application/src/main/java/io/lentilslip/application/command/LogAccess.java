package io.lentilslip.application.command;

import io.lentilslip.client.log.LogService;
import io.lentilslip.runtime.configuration.ConfigurationLookup;
import io.lentilslip.runtime.configuration.ConfigurationLookup.Outcome;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.ParseException;

/**
 * How commands reach the log service. Stateless and safe for use by several threads.
 */
final class LogAccess {

	private static final String LOG = "log";

	private LogAccess() {
	}

	/**
	 * Returns the option that names the log service.
	 * @return the option, which is needed
	 */
	static Option option() {
		return optional().required().get();
	}

	/**
	 * Returns the option that names the log service, to be built.
	 * @return the option, which may be left out
	 */
	static Option.Builder optional() {
		return Option.builder().longOpt(LOG).hasArg().argName("ADDRESS").desc("where the log service listens");
	}

	/**
	 * Returns whether the command line names the log service.
	 * @param arguments the command line
	 * @return whether it does
	 */
	static boolean isNamed(Arguments arguments) {
		return arguments.has(LOG);
	}

	/**
	 * Opens a client of the log service that the command line names.
	 * @param arguments the command line
	 * @return the client, to be closed
	 * @throws ParseException if the address is none
	 */
	static LogService open(Arguments arguments) throws ParseException {
		return new LogService.ForHttp(arguments.endpoint(LOG));
	}

	/**
	 * Looks up what is in force.
	 * @param arguments the command line
	 * @return what the log says
	 * @throws ParseException if the address is none
	 * @throws InterruptedException if the thread is interrupted
	 */
	static Outcome lookUp(Arguments arguments) throws ParseException, InterruptedException {
		try (LogService log = open(arguments)) {
			return new ConfigurationLookup(log).find();
		}
	}

	/**
	 * Tells why nothing can be said of the configuration in force.
	 * @param outcome what the lookup found, other than a version in force
	 * @param console where it is told
	 * @return the exit code that fits
	 */
	static ExitCode explain(Outcome outcome, Console console) {
		console.error(switch (outcome) {
			case Outcome.InForce inForce -> "version " + inForce.version().version() + " is in force";
			case Outcome.NothingPublished nothing -> "nothing was published yet";
			case Outcome.PassedRetention passed ->
				"the log no longer holds the configuration's record; ask a process by 'lentilslip status'";
			case Outcome.Unavailable unavailable -> "the log can't be read: " + unavailable.reason();
		});
		return ExitCode.UNAVAILABLE;
	}

}
