package io.lentilslip.application;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Signals that come while a process loads its classes, which it says on its output.
 */
@Timeout(60)
class StopDuringStartTests {

	private static final String FIRST_CLASS = "io.lentilslip.application.command.CommandLineTool ";

	@TempDir
	private Path folder;

	// Guards against an end by the signal itself, before the process has its handler.
	@ParameterizedTest
	@ValueSource(strings = { "entry", "sidecar" })
	void roleThatIsToStopWhileItLoadsClassesEndsAsAfterADrain(String role) throws Exception {
		Path settings = Files.writeString(this.folder.resolve("process.ini"), """
				[process]
				vm = vm-1
				zone = hall
				link_secret_file = secret

				[platform]
				log_service = 127.0.0.1:1
				vm_list = 127.0.0.1:1
				weight_store = 127.0.0.1:1

				[listen]
				links = 127.0.0.1:0
				admin = 127.0.0.1:0
				""" + (role.equals("entry") ? "callers = 127.0.0.1:0\n" : "[upstream]\naddress = 127.0.0.1:1\n"));
		Files.writeString(this.folder.resolve("secret"), "a secret of the tests");
		assertThat(signalled("TERM", role, "--settings", settings.toString())).isZero();
	}

	// Guards against an end by the signal that tells of changed settings. This relay goes
	// on, up to the settings that it doesn't have.
	@Test
	void relayThatIsToldOfSettingsWhileItLoadsClassesStarts() throws Exception {
		assertThat(signalled("HUP", "relay")).isEqualTo(3);
	}

	private static int signalled(String signal, String... arguments) throws IOException, InterruptedException {
		List<String> command = new ArrayList<>(List.of(
				Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx96m", "-XX:+UseSerialGC",
				"-XX:TieredStopAtLevel=1", "--enable-native-access=ALL-UNNAMED", "-Xlog:class+load:stdout", "-cp",
				System.getProperty("java.class.path"), LentilslipApplication.class.getName()));
		command.addAll(List.of(arguments));
		Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
		try (BufferedReader output = process.inputReader()) {
			for (String line = output.readLine(); line != null; line = output.readLine()) {
				if (line.contains(FIRST_CLASS)) {
					assertThat(new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor())
						.isZero();
				}
			}
			return process.waitFor();
		}
		finally {
			process.destroyForcibly();
		}
	}

}
