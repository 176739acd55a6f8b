package io.lentilslip.application.command;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import io.lentilslip.application.role.StopRequests;
import io.lentilslip.runtime.node.StopSignals;

/**
 * One command run in this Java process, with what it wrote.
 *
 * @param code how it ended
 * @param out its results
 * @param err its errors
 */
record CommandRun(ExitCode code, String out, String err) {

	static CommandRun of(String... arguments) {
		return withInput("", arguments);
	}

	static CommandRun withInput(String input, String... arguments) {
		StopSignals signals = new StopSignals();
		return run(signals, new StoppingOutput(signals), input, arguments);
	}

	/**
	 * Runs a command that was asked to stop before it began.
	 * @param requests how often it was asked
	 * @param arguments the arguments of the command line
	 * @return the run
	 */
	static CommandRun stoppedBefore(int requests, String... arguments) {
		StopSignals signals = new StopSignals();
		for (int i = 0; i < requests; i++) {
			signals.signal();
		}
		return run(signals, new ByteArrayOutputStream(), "", arguments);
	}

	private static CommandRun run(StopSignals signals, ByteArrayOutputStream out, String input, String... arguments) {
		StopRequests stops = (atSecond) -> {
			signals.onSecond(atSecond);
			return signals;
		};
		ByteArrayOutputStream err = new ByteArrayOutputStream();
		Console console = new Console(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
				new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
		ExitCode code = CommandLineTool.with(stops).run(arguments, console);
		return new CommandRun(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
	}

	/**
	 * Writes a folder with a small configuration.
	 * @param folder where it is written
	 * @param share the share of its only group
	 * @return the folder
	 */
	static String configuration(Path folder, int share) throws IOException {
		Files.createDirectories(folder);
		Files.writeString(folder.resolve("10-site.ini"), """
				[site]
				name = pier
				zones = hall

				[group desk]
				share = %d

				[model m]
				context_tokens = 1000
				maximum_output_tokens = 100

				[upstream vm-1]
				zone = hall
				sidecar = 127.0.0.1:21001
				address = 127.0.0.1:22001
				kind = engine
				models = m
				checks_fencing_numbers = true
				kv_tokens = 4000
				maximum_calls = 4
				""".formatted(share));
		return folder.toString();
	}

	/**
	 * Writes the settings of a process.
	 * @param folder where they are written
	 * @param text further sections
	 * @return the file
	 */
	static String settings(Path folder, String text) throws IOException {
		Files.writeString(folder.resolve("secret"), "a secret of the tests");
		return Files.writeString(folder.resolve("process.ini"), """
				[process]
				vm = vm-1
				zone = hall
				link_secret_file = secret

				[platform]
				log_service = 127.0.0.1:1
				vm_list = 127.0.0.1:1
				weight_store = 127.0.0.1:1

				""" + text).toString();
	}

	/**
	 * Asks the command to stop once it has written something: a role does so after its
	 * start. Used by one thread.
	 */
	private static final class StoppingOutput extends ByteArrayOutputStream {

		private final StopSignals signals;

		StoppingOutput(StopSignals signals) {
			this.signals = signals;
		}

		@Override
		public synchronized void write(byte[] bytes, int offset, int length) {
			super.write(bytes, offset, length);
			if (!this.signals.isRequested()) {
				this.signals.signal();
			}
		}

	}

}
