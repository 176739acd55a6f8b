package io.lentilslip.application.command;

import io.lentilslip.standin.log.LogServiceStandIn;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigShowCommandTests {

	@Test
	void logThatIsGoneIsUnavailable() {
		CommandRun run = CommandRun.of("config", "show", "--log", "127.0.0.1:1");
		assertThat(run.code()).isEqualTo(ExitCode.UNAVAILABLE);
		assertThat(run.err()).contains("the log can't be read");
		assertThat(run.out()).isEmpty();
	}

	@Test
	void emptyLogHasNothing() {
		try (LogServiceStandIn log = LogServiceStandIn.start()) {
			CommandRun run = CommandRun.of("config", "show", "--log", "127.0.0.1:" + log.address().getPort());
			assertThat(run.code()).isEqualTo(ExitCode.UNAVAILABLE);
			assertThat(run.err()).contains("nothing was published yet");
		}
	}

}
