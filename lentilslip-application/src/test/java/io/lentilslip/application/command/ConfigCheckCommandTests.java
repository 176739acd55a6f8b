package io.lentilslip.application.command;

import java.io.IOException;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigCheckCommandTests {

	@TempDir
	private Path folder;

	@Test
	void soundFolderIsSummedUp() throws IOException {
		CommandRun run = CommandRun.of("config", "check", CommandRun.configuration(this.folder, 1));
		assertThat(run.code()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).contains("site pier, 1 groups", "no problems");
	}

	@Test
	void problemsAreToldWithFileLineAndKey() throws IOException {
		CommandRun run = CommandRun.of("config", "check", CommandRun.configuration(this.folder, -1));
		assertThat(run.code()).isEqualTo(ExitCode.REFUSED);
		assertThat(run.out()).isEmpty();
		assertThat(run.err()).contains("10-site.ini:6: [group desk] share:").contains("expected");
	}

	@Test
	void folderThatIsMissingIsRefused() {
		CommandRun run = CommandRun.of("config", "check", this.folder.resolve("none").toString());
		assertThat(run.code()).isEqualTo(ExitCode.REFUSED);
		assertThat(run.err()).contains("expected a folder");
	}

}
