package io.lentilslip.application.command;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

import io.lentilslip.application.role.StopRequests;
import io.lentilslip.platform.PlatformRelay;
import io.lentilslip.relay.process.RelayProcess;
import io.lentilslip.runtime.node.StopSignals;
import io.lentilslip.telemetry.LogSettings;
import io.lentilslip.telemetry.LogWriting;
import io.lentilslip.telemetry.Metrics;
import io.lentilslip.telemetry.Notices;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * Runs a relay on the users' platform until it is asked to stop. A relay that is asked to
 * stop before it has started does not start. Immutable and safe for use by several
 * threads.
 */
final class RelayCommand implements Command {

	/**
	 * How many events of one kind a relay writes in a second: above the requests that one
	 * serves, so that only what repeats is held back.
	 */
	private static final int EVENTS_PER_SECOND = 200;

	private static final String ADMIT_BY_LOAD = "admit-by-load";

	private final StopRequests stops;

	/**
	 * Creates the command.
	 * @param stops where requests to stop come from
	 */
	RelayCommand(StopRequests stops) {
		this.stops = stops;
	}

	@Override
	public List<String> words() {
		return List.of("relay");
	}

	@Override
	public String description() {
		return """
				Runs a relay on the users' platform: takes requests by route and finds an upstream for each.
				Its settings are those that the platform gives the process.""";
	}

	@Override
	public Options options() {
		return new Options().addOption(Option.builder()
			.longOpt(ADMIT_BY_LOAD)
			.desc("refuse new programs while their service has no room")
			.build());
	}

	private static Notices notices(String process) {
		return Notices.Limited.perSecond(Notices.ForLogger.ofProcess(process), EVENTS_PER_SECOND);
	}

	@Override
	public ExitCode run(Arguments arguments, Console console) throws InterruptedException {
		CompletableFuture<ExitCode> ended = new CompletableFuture<>();
		StopSignals signals = this.stops.take(() -> ended.complete(ExitCode.CUT_OFF));
		if (signals.isRequested()) {
			return ended.getNow(ExitCode.OK);
		}
		LogSettings log = LogSettings.defaults().as(LogSettings.Form.JSON).onStandardOutput();
		try (LogWriting writing = log.applyWithoutWaiting();
				RelayProcess relay = PlatformRelay.create(RelayCommand::notices, new Metrics(),
						arguments.has(ADMIT_BY_LOAD))) {
			if (signals.isRequested()) {
				return ended.getNow(ExitCode.OK);
			}
			relay.start();
			signals.onFirst(() -> relay.drain().thenRun(() -> ended.complete(ExitCode.OK)));
			return ended.get();
		}
		catch (IOException ex) {
			console.error("can't start: " + ex.getMessage());
			return ExitCode.REFUSED;
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex.getCause());
		}
	}

}
