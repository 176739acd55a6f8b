package io.lentilslip.application.command;

import java.io.IOException;
import java.nio.file.Path;

import io.lentilslip.standin.tool.ToolServiceStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class SidecarCommandTests {

	private static final String SECTIONS = """
			[listen]
			links = 127.0.0.1:0
			admin = 127.0.0.1:0

			[upstream]
			address = 127.0.0.1:1
			""";

	@TempDir
	private Path folder;

	@Test
	void sidecarRunsUntilItIsStopped() throws IOException {
		CommandRun run = CommandRun.of("sidecar", "--settings", CommandRun.settings(this.folder, SECTIONS));
		assertThat(run.code()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).matches("vm-1: links 127\\.0\\.0\\.1:[1-9]\\d*, admin 127\\.0\\.0\\.1:[1-9]\\d*\\R");
	}

	@Test
	void portInUseIsUnavailable() throws IOException {
		try (ToolServiceStandIn other = ToolServiceStandIn.start()) {
			CommandRun run = CommandRun.of("sidecar", "--settings", CommandRun.settings(this.folder, SECTIONS), "--set",
					"listen.links=127.0.0.1:" + other.address().getPort());
			assertThat(run.code()).isEqualTo(ExitCode.UNAVAILABLE);
			assertThat(run.err()).contains("can't start");
		}
	}

	@Test
	void settingsOfAnEntryAreRefused() throws IOException {
		CommandRun run = CommandRun.of("sidecar", "--settings",
				CommandRun.settings(this.folder, "[listen]\nlinks = 127.0.0.1:0\nadmin = 127.0.0.1:0\n"));
		assertThat(run.code()).isEqualTo(ExitCode.REFUSED);
		assertThat(run.err()).contains("upstream");
	}

}
