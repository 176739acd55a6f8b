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

	// The request comes before anything is there to stop, and is kept until it is.
	private static final StopRequests AT_ONCE = (atSecond) -> {
		StopSignals signals = new StopSignals(atSecond);
		signals.signal();
		return signals;
	};

	static CommandRun of(String... arguments) {
		return withInput("", arguments);
	}

	static CommandRun withInput(String input, String... arguments) {
		return run(AT_ONCE, input, arguments);
	}

	static CommandRun stoppedBy(StopRequests stops, String... arguments) {
		return run(stops, "", arguments);
	}

	private static CommandRun run(StopRequests stops, String input, String... arguments) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
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

}
