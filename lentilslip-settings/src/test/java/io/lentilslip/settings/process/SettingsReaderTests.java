package io.lentilslip.settings.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.settings.ini.ConfigurationProblem;
import io.vavr.control.Either;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.FieldSource;

import static org.assertj.core.api.Assertions.assertThat;

class SettingsReaderTests {

	private static final String COMMON = """
			[process]
			vm = vm-1
			zone = north
			link_secret_file = secret

			[platform]
			log_service = 127.0.0.1:9001
			vm_list = 127.0.0.1:9002
			weight_store = 127.0.0.1:9003

			[listen]
			links = 127.0.0.1:0
			admin = 127.0.0.1:0
			""";

	private static final String ENTRY = COMMON + "callers = [::1]:8080\n";

	private static final String SIDECAR = COMMON + "\n[upstream]\naddress = 127.0.0.1:9100\n";

	private static final String CONNECT = "expected a numeric IP address and a port from 1, such as 10.0.0.7:8080 or [::1]:8080";

	private static final String LISTEN = "expected a numeric IP address and a port (0 for any), such as 10.0.0.7:8080 or [::1]:8080";

	static final List<Arguments> REFUSALS = List.of(
			Arguments.of("zone = north", "zone = no rth",
					":3: [process] zone: found 'no rth', expected the name of an availability zone"),
			Arguments.of("= secret", "= missing",
					":4: [process] link_secret_file: found 'missing', expected a readable file of 16 to 4096 bytes (paths are relative to the settings file)"),
			Arguments.of("vm_list", "vm_lists",
					":8: [platform] vm_lists: found an unknown key, expected one of log_service, vm_list, weight_store"),
			Arguments.of(":9003", ":0", ":9: [platform] weight_store: found '127.0.0.1:0', " + CONNECT),
			Arguments.of("[::1]:8080", "entry.local:8080",
					":14: [listen] callers: found 'entry.local:8080', " + LISTEN),
			Arguments.of("[listen]", "[listening]",
					":11: [listening] found an unknown section, expected [bounds], [listen], [logging], [platform], [process]"),
			Arguments.of("[listen]", "[listening]", ": [listen] admin: found no such key, " + LISTEN),
			Arguments.of("vm = vm-1", "vm vm-1",
					":2: [process] found 'vm vm-1', expected [section], key = value, or a comment"),
			Arguments.of("callers =", "callers",
					":14: [listen] callers [: found an unknown key, expected one of admin, callers, links"));

	@TempDir
	private Path folder;

	@BeforeEach
	void writeSecret() throws IOException {
		Files.writeString(this.folder.resolve("secret"), "0123456789abcdef");
	}

	@Test
	void readsAnEntry() throws IOException {
		EntrySettings settings = readEntry(ENTRY, Map.of()).get();
		assertThat(settings.callers()).isEqualTo(new Endpoint("::1", 8080));
		assertThat(settings.process().links().port()).isZero();
		assertThat(settings.process().linkSecretFile()).isEqualTo(this.folder.resolve("secret"));
		assertThat(settings.process().logging()).isEqualTo(LogSettings.DEFAULT);
		assertThat(settings.process().memory()).isEqualTo(MemoryBounds.DEFAULT);
	}

	@Test
	void readsASidecar() throws IOException {
		SidecarSettings settings = reader(SIDECAR + "[logging]\nformat = json\nlevel = debug\n", Map.of()).readSidecar()
			.get();
		assertThat(settings.upstream()).isEqualTo(new Endpoint("127.0.0.1", 9100));
		assertThat(settings.process().logging())
			.isEqualTo(new LogSettings(LogSettings.Format.JSON, LogSettings.Level.DEBUG));
	}

	@Test
	void prefersTheCommandLine() throws IOException {
		EntrySettings settings = readEntry(ENTRY,
				Map.of("listen.callers", "10.0.0.1:80", "bounds.history_bytes", "1MiB"))
			.get();
		assertThat(settings.callers()).isEqualTo(new Endpoint("10.0.0.1", 80));
		assertThat(settings.process().memory().historyBytes()).isEqualTo(1L << 20);
	}

	@ParameterizedTest
	@FieldSource("REFUSALS")
	void refusesWithFileAndLine(String sound, String spoiled, String problem) throws IOException {
		assertThat(problems(readEntry(ENTRY.replace(sound, spoiled), Map.of())))
			.contains(this.folder.resolve("process.ini") + problem);
	}

	@Test
	void refusesUnsuitableOverrides() throws IOException {
		assertThat(problems(readEntry(ENTRY, Map.of("listen.callers", "x", "colour", "red"))))
			.containsExactlyInAnyOrder(
					"(command line): [colour] found an unknown section,"
							+ " expected [bounds], [listen], [logging], [platform], [process]",
					"(command line): [listen] callers: found 'x', expected a numeric IP address and a port (0 for any),"
							+ " such as 10.0.0.7:8080 or [::1]:8080");
		assertThat(problems(readEntry(ENTRY, Map.of("logging.level", "loud"))))
			.containsExactly("(command line): [logging] level: found 'loud', expected one of debug, error, info, warn");
	}

	@Test
	void refusesSidecarsWithoutAnUpstreamAndEntriesWithOne() throws IOException {
		assertThat(problems(reader(COMMON, Map.of()).readSidecar())).singleElement()
			.asString()
			.contains("[upstream] address: found no such key");
		assertThat(problems(readEntry(SIDECAR + "[listen]\n", Map.of())))
			.anyMatch((text) -> text.contains("[upstream] found an unknown"));
	}

	@Test
	void refusesFilesThatAreMissingOrOversized() throws IOException {
		Path missing = this.folder.resolve("missing.ini");
		assertThat(problems(new SettingsReader(missing, SettingOverrides.NONE).readEntry())).singleElement()
			.asString()
			.startsWith(missing + ": found java.nio.file.NoSuchFileException");
		assertThat(problems(readEntry("#".repeat((1 << 20) + 1), Map.of()))).singleElement()
			.asString()
			.endsWith("found more than that, expected at most 1MiB");
	}

	private Either<List<ConfigurationProblem>, EntrySettings> readEntry(String text, Map<String, String> overrides)
			throws IOException {
		return reader(text, overrides).readEntry();
	}

	private SettingsReader reader(String text, Map<String, String> overrides) throws IOException {
		Path file = Files.writeString(this.folder.resolve("process.ini"), text);
		return new SettingsReader(file, new SettingOverrides(overrides));
	}

	private static List<String> problems(Either<List<ConfigurationProblem>, ?> result) {
		return result.getLeft().stream().map(ConfigurationProblem::toString).toList();
	}

}
