package io.lentilslip.application.command;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import io.lentilslip.application.role.StopRequests;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.standin.engine.EngineSettings;
import io.lentilslip.standin.engine.EngineStandIn;
import io.lentilslip.standin.engine.EngineTiming;
import io.lentilslip.standin.log.LogLimits;
import io.lentilslip.standin.log.LogServiceStandIn;
import io.lentilslip.standin.tool.ToolServiceStandIn;
import io.lentilslip.standin.vmlist.VmListStandIn;
import io.lentilslip.telemetry.LogSettings;
import io.vavr.control.Try;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Runs a stand-in of an outside system for trials on one machine. Immutable and safe for
 * use by several threads.
 */
final class StandInCommand implements Command {

	private static final String LISTEN = "listen";

	private static final String MODEL = "model";

	private static final String HOST = "127.0.0.1";

	private final StopRequests stops;

	/**
	 * Creates the command.
	 * @param stops where requests to stop come from
	 */
	StandInCommand(StopRequests stops) {
		this.stops = stops;
	}

	@Override
	public List<String> words() {
		return List.of("standin");
	}

	@Override
	public List<String> parameters() {
		return List.of("log|vms|engine|tool");
	}

	@Override
	public String description() {
		return """
				Runs a stand-in of an outside system, for trials on one machine. NOT FOR PRODUCTION.
				A stand-in keeps everything in memory, knows no callers' keys, listens on 127.0.0.1 alone and can be
				told to fail by anyone who reaches it. It runs until a signal asks it to stop.""";
	}

	@Override
	public Options options() {
		return new Options()
			.addOption(Option.builder()
				.longOpt(LISTEN)
				.hasArg()
				.argName("ADDRESS")
				.required()
				.desc("an address on 127.0.0.1; port 0 takes a free one")
				.get())
			.addOption(Option.builder()
				.longOpt(MODEL)
				.hasArg()
				.argName("NAME")
				.desc("of an engine: the model that it has loaded")
				.get());
	}

	@Override
	public ExitCode run(Arguments arguments, Console console) throws ParseException, InterruptedException {
		Endpoint listen = arguments.endpoint(LISTEN);
		if (!listen.ip().equals(HOST)) {
			throw new ParseException("--" + LISTEN + ": a stand-in listens on " + HOST + " alone");
		}
		Kind kind = kind(arguments);
		Optional<String> model = arguments.text(MODEL);
		if ((kind == Kind.ENGINE) != model.isPresent()) {
			throw new ParseException("--" + MODEL + " belongs to an engine, which needs it");
		}
		LogSettings.defaults().apply();
		CountDownLatch stopped = new CountDownLatch(1);
		this.stops.take(stopped::countDown).onFirst(stopped::countDown);
		Try<StandIn> started = Try.of(() -> start(kind, listen.port(), model));
		if (started.isFailure()) {
			console.error("can't listen on " + listen + ": " + started.getCause().getMessage());
			return ExitCode.UNAVAILABLE;
		}
		try (StandIn standIn = started.get()) {
			console.out().println(kind.word + " stand-in on " + HOST + ":" + standIn.port());
			stopped.await();
			return ExitCode.OK;
		}
	}

	private static Kind kind(Arguments arguments) throws ParseException {
		for (Kind kind : Kind.values()) {
			if (kind.word.equals(arguments.parameter(0))) {
				return kind;
			}
		}
		throw new ParseException("found '" + arguments.parameter(0) + "', expected log, vms, engine or tool");
	}

	private static StandIn start(Kind kind, int port, Optional<String> model) {
		return switch (kind) {
			case LOG -> {
				LogServiceStandIn log = LogServiceStandIn.start(port, LogLimits.defaults(), System::nanoTime);
				yield new StandIn(log, log.address().getPort());
			}
			case VMS -> {
				VmListStandIn vms = VmListStandIn.start(port, System::nanoTime);
				yield new StandIn(vms, vms.address().getPort());
			}
			case ENGINE -> {
				EngineStandIn engine = EngineStandIn.start(EngineSettings.serving(model.orElseThrow())
					.withPort(port)
					.withTiming(EngineTiming.asFastAsPossible().withScale(1)));
				yield new StandIn(engine, engine.address().getPort());
			}
			case TOOL -> {
				ToolServiceStandIn tool = ToolServiceStandIn.start(port);
				yield new StandIn(tool, tool.address().getPort());
			}
		};
	}

	/**
	 * The kinds of stand-ins. Safe for use by several threads.
	 */
	private enum Kind {

		LOG("log"), VMS("vms"), ENGINE("engine"), TOOL("tool");

		private final String word;

		Kind(String word) {
			this.word = word;
		}

	}

	/**
	 * A stand-in that runs. As safe for use by several threads as the stand-in is.
	 *
	 * @param resource what is closed at the end
	 * @param port the port in use
	 */
	private record StandIn(AutoCloseable resource, int port) implements AutoCloseable {

		@Override
		public void close() {
			try {
				this.resource.close();
			}
			catch (Exception ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

}
