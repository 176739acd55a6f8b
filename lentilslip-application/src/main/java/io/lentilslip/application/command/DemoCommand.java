package io.lentilslip.application.command;

import java.util.List;
import java.util.concurrent.CountDownLatch;

import io.lentilslip.application.demo.Demo;
import io.lentilslip.application.demo.DemoException;
import io.lentilslip.application.demo.DemoReport;
import io.lentilslip.application.demo.Progress;
import io.lentilslip.application.role.StopRequests;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.telemetry.LogSettings;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * Runs the demonstration. Immutable and safe for use by several threads.
 */
final class DemoCommand implements Command {

	private static final String STAY = "stay";

	private static final String JSON = "json";

	private final StopRequests stops;

	/**
	 * Creates the command.
	 * @param stops where requests to stop come from
	 */
	DemoCommand(StopRequests stops) {
		this.stops = stops;
	}

	@Override
	public List<String> words() {
		return List.of("demo");
	}

	@Override
	public String description() {
		return """
				Runs an example site with some programs in one process, and shows what was measured.
				All roles and stand-ins listen on free ports of this machine. It stops by itself, with exit code 0 if
				every program ended whole, each tool call ran once and no engine memory is held.""";
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(Option.builder().longOpt(STAY).desc("keep running, and show commands to try").get())
			.addOption(Option.builder().longOpt(JSON).desc("print JSON; steps go to standard error").get());
	}

	@Override
	public ExitCode run(Arguments arguments, Console console) throws InterruptedException {
		boolean json = arguments.has(JSON);
		LogSettings.defaults().from(NoticeCode.Level.ERROR).apply();
		try (Demo demo = Demo.start(new Progress(json ? console.err() : console.out()))) {
			DemoReport report = demo.run();
			console.out().println(json ? report.json().toPrettyString() : "\n" + report.text());
			if (arguments.has(STAY)) {
				stay(demo, console);
			}
			return ExitCode.OK;
		}
		catch (DemoException ex) {
			console.error("the demonstration failed: " + ex.getMessage());
			return ExitCode.FAILED;
		}
	}

	private void stay(Demo demo, Console console) throws InterruptedException {
		console.err().println("The site keeps running until you press Ctrl-C. Try:");
		demo.commands().forEach((command) -> console.err().println("  " + command));
		CountDownLatch stopped = new CountDownLatch(1);
		this.stops.take(stopped::countDown).onFirst(stopped::countDown);
		stopped.await();
	}

}
