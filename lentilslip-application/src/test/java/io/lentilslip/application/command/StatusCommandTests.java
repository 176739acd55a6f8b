package io.lentilslip.application.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.lentilslip.application.role.RunningRole;
import io.lentilslip.settings.process.SettingOverrides;
import io.lentilslip.settings.process.SettingsReader;
import io.lentilslip.standin.log.LogServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class StatusCommandTests {

	private static final String PORTS = """
			[listen]
			callers = 127.0.0.1:0
			links = 127.0.0.1:0
			admin = 127.0.0.1:0
			""";

	private final LogServiceStandIn log = LogServiceStandIn.start();

	private final String logAddress = "127.0.0.1:" + this.log.address().getPort();

	@TempDir
	private Path folder;

	private RunningRole.Entry entry;

	private String admin;

	@BeforeEach
	void start() throws IOException {
		Path settings = Path.of(CommandRun.settings(this.folder, PORTS));
		this.entry = RunningRole.Entry.start(new SettingsReader(settings, SettingOverrides.NONE).readEntry().get());
		this.admin = "127.0.0.1:" + this.entry.process().admin().getPort();
	}

	@AfterEach
	void stop() {
		this.entry.close();
		this.log.close();
	}

	@Test
	void processesAndGroupsAreShownAsTables() throws IOException {
		Path published = Files.createDirectory(this.folder.resolve("published"));
		CommandRun.of("config", "publish", CommandRun.configuration(published, 3), "--log", this.logAddress);
		CommandRun run = CommandRun.of("status", "--entry", this.admin, "--log", this.logAddress);
		assertThat(run.code()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).contains("in force by the log: version 0")
			.containsPattern("vm-1 +entry +" + this.admin + " +waiting")
			.containsPattern("desk +0 +0 +0 +0 +100\\.0%");
	}

	@Test
	void processThatIsGoneIsNamedAndTheOthersAreShown() {
		CommandRun run = CommandRun.of("status", "--entry", this.admin, "--sidecar", "127.0.0.1:1");
		assertThat(run.code()).isEqualTo(ExitCode.UNAVAILABLE);
		assertThat(run.out()).containsPattern("127\\.0\\.0\\.1:1 +no answer").contains("waiting");
	}

	@Test
	void jsonHasTheStateOfEachProcess() {
		CommandRun run = CommandRun.of("status", "--json", "--entry", this.admin);
		assertThat(run.out()).contains("\"address\" : \"" + this.admin + "\"", "\"role\" : \"entry\"");
	}

}
