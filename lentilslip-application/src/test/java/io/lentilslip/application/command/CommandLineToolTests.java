package io.lentilslip.application.command;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class CommandLineToolTests {

	@ParameterizedTest
	@ValueSource(strings = { "entry", "sidecar", "config check", "config diff", "config publish", "config show",
			"status", "key hash", "demo", "standin", "version" })
	void everyCommandHasHelp(String words) {
		CommandRun run = CommandRun.of((words + " --help").split(" "));
		assertThat(run.code()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).contains("lentilslip " + words, "--help");
		assertThat(run.err()).isEmpty();
		assertThat(CommandRun.of("--help").out()).contains("  " + words + " ");
	}

	@Test
	void helpOfAStandInSaysThatItIsNotForProduction() {
		assertThat(CommandRun.of("standin", "--help").out()).containsIgnoringWhitespaces("NOT FOR PRODUCTION");
	}

	@Test
	void withoutACommandTheListGoesToStandardError() {
		CommandRun run = CommandRun.of();
		assertThat(run.code()).isEqualTo(ExitCode.USAGE);
		assertThat(run.out()).isEmpty();
		assertThat(run.err()).contains("config publish");
	}

	@ParameterizedTest
	@ValueSource(strings = { "confg check x", "config", "config check", "config check a b", "config check a --log x",
			"config show", "config show --log localhost:1", "config publish x --log 127.0.0.1:1 --base -2",
			"config publish x --log 127.0.0.1:1 --publication x", "entry", "entry --settings x --set key",
			"entry --settings x --set a.b=1 --set a.b=2", "status", "status --entry host:1", "version x",
			"standin engine --listen 127.0.0.1:0", "standin log --listen 10.0.0.1:0",
			"standin disk --listen 127.0.0.1:0" })
	void wrongCommandLinesAreRefusedOnStandardError(String line) {
		CommandRun run = CommandRun.of(line.split(" "));
		assertThat(run.code()).isEqualTo(ExitCode.USAGE);
		assertThat(run.out()).isEmpty();
		assertThat(run.err()).startsWith("lentilslip: ").contains("--help");
	}

	@Test
	void exitCodesAreAsDocumented() {
		assertThat(ExitCode.values()).extracting(ExitCode::value).containsExactly(0, 1, 2, 3, 4, 5, 6, 7);
	}

}
