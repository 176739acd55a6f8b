package io.lentilslip.application.command;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class KeyHashCommandTests {

	// The digest of the key of the example site Barca, as its files have it.
	private static final String LINE = "key_sha256 = 489c0a150ad23569199c1c9bc13069641913de8d276e10f94da377881581bdfd";

	@Test
	void endOfTheLineIsNoPartOfTheKey() {
		assertThat(CommandRun.withInput("barca-buyers-demo", "key", "hash").out()).isEqualToIgnoringNewLines(LINE);
		assertThat(CommandRun.withInput("barca-buyers-demo\n", "key", "hash").out()).isEqualToIgnoringNewLines(LINE);
		assertThat(CommandRun.withInput("barca-buyers-demo\r\n", "key", "hash").out()).isEqualToIgnoringNewLines(LINE);
	}

	@Test
	void textThatNoHeaderCanCarryIsRefused() {
		for (String input : new String[] { "", "\n", "two words", "two\nlines", "cl\u00e9", "k".repeat(1025) }) {
			CommandRun run = CommandRun.withInput(input, "key", "hash");
			assertThat(run.code()).isEqualTo(ExitCode.REFUSED);
			assertThat(run.out()).isEmpty();
		}
	}

}
