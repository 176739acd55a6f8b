package io.lentilslip.application.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.lentilslip.application.status.ProcessReport;
import io.lentilslip.application.status.StatusReport;
import io.lentilslip.client.http.HttpLimits;
import io.lentilslip.client.http.HttpSender;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.runtime.configuration.ConfigurationLookup.Outcome;
import io.lentilslip.runtime.configuration.PublishedVersion;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Shows the state of running processes. Stateless and safe for use by several threads.
 */
final class StatusCommand implements Command {

	private static final String ENTRY = "entry";

	private static final String SIDECAR = "sidecar";

	private static final String JSON = "json";

	@Override
	public List<String> words() {
		return List.of("status");
	}

	@Override
	public String description() {
		return """
				Shows the state of processes: VMs, versions in force, queues, and the groups' use.
				It asks the admin ports that are named. With --log it also shows the version in force by the log, and
				each group's share and budget. "share used" weighs tokens by the default costs of a model.""";
	}

	@Override
	public Options options() {
		return new Options().addOption(address(ENTRY, "the admin port of an entry; may stand several times"))
			.addOption(address(SIDECAR, "the admin port of a sidecar; may stand several times"))
			.addOption(LogAccess.optional().get())
			.addOption(Option.builder().longOpt(JSON).desc("print JSON in place of tables").get());
	}

	private static Option address(String name, String description) {
		return Option.builder().longOpt(name).hasArg().argName("ADDRESS").desc(description).get();
	}

	@Override
	public ExitCode run(Arguments arguments, Console console) throws ParseException, InterruptedException {
		List<Endpoint> addresses = new ArrayList<>(arguments.endpoints(ENTRY));
		addresses.addAll(arguments.endpoints(SIDECAR));
		if (addresses.isEmpty()) {
			throw new ParseException("expected at least one --" + ENTRY + " or --" + SIDECAR);
		}
		Optional<PublishedVersion> published = Optional.empty();
		if (LogAccess.isNamed(arguments)) {
			Outcome outcome = LogAccess.lookUp(arguments);
			if (!(outcome instanceof Outcome.InForce inForce)) {
				return LogAccess.explain(outcome, console);
			}
			published = Optional.of(inForce.version());
		}
		StatusReport report = new StatusReport(ask(addresses), published);
		console.out().println(arguments.has(JSON) ? report.json().toPrettyString() : report.text());
		return report.isWhole() ? ExitCode.OK : ExitCode.UNAVAILABLE;
	}

	private static List<ProcessReport> ask(List<Endpoint> addresses) {
		try (HttpSender sender = new HttpSender(HttpLimits.defaults())) {
			return addresses.stream().map((address) -> ProcessReport.ask(sender, address)).toList();
		}
	}

}
