package io.lentilslip.application.command;

import java.io.IOException;
import java.nio.file.Path;

import io.lentilslip.standin.log.LogServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigDiffCommandTests {

	private final LogServiceStandIn log = LogServiceStandIn.start();

	private final String address = "127.0.0.1:" + this.log.address().getPort();

	@TempDir
	private Path folder;

	@AfterEach
	void stop() {
		this.log.close();
	}

	private CommandRun diff(int share) throws IOException {
		return CommandRun.of("config", "diff", CommandRun.configuration(this.folder, share), "--log", this.address);
	}

	@Test
	void changedKeyIsShownAgainstTheVersionInForce() throws IOException {
		CommandRun.of("config", "publish", CommandRun.configuration(this.folder, 1), "--log", this.address);
		assertThat(diff(1).out()).contains("no difference from version 0");
		CommandRun run = diff(5);
		assertThat(run.code()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).contains("against version 0", "changed [group desk] share: 1 -> 5");
	}

	@Test
	void nothingPublishedIsToldApartFromNoDifference() throws IOException {
		CommandRun run = diff(1);
		assertThat(run.code()).isEqualTo(ExitCode.UNAVAILABLE);
		assertThat(run.err()).contains("nothing was published yet");
		assertThat(run.out()).isEmpty();
	}

	@Test
	void folderWithProblemsIsRefused() throws IOException {
		assertThat(diff(0).code()).isEqualTo(ExitCode.REFUSED);
	}

}
