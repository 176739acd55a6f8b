package io.lentilslip.application.command;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class VersionCommandTests {

	@Test
	void versionIsThatOfTheBuild() {
		CommandRun run = CommandRun.of("version");
		assertThat(run.code()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).matches("lentilslip \\d+\\.\\d+\\.\\d+\\S* \\(JDK \\d+.*\\)\\R");
	}

}
