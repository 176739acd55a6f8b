package io.lentilslip.application.command;

import io.lentilslip.standin.tool.ToolServiceStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class StandInCommandTests {

	@ParameterizedTest
	@ValueSource(strings = { "log", "vms", "tool", "engine" })
	void standInRunsUntilItIsStopped(String kind) {
		CommandRun run = kind.equals("engine")
				? CommandRun.of("standin", kind, "--listen", "127.0.0.1:0", "--model", "m")
				: CommandRun.of("standin", kind, "--listen", "127.0.0.1:0");
		assertThat(run.code()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).matches(kind + " stand-in on 127\\.0\\.0\\.1:[1-9]\\d*\\R");
	}

	@Test
	void portInUseIsUnavailable() {
		try (ToolServiceStandIn other = ToolServiceStandIn.start()) {
			CommandRun run = CommandRun.of("standin", "tool", "--listen", "127.0.0.1:" + other.address().getPort());
			assertThat(run.code()).isEqualTo(ExitCode.UNAVAILABLE);
			assertThat(run.err()).contains("can't listen on");
		}
	}

}
