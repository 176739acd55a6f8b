package io.lentilslip.application.command;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The log is of real runs: a store that was down for all relays, and runners whose
 * answers were lost.
 */
class ExplainCommandTests {

	@TempDir
	private Path folder;

	// A caller's turn ended 503. The story tells that its relay had just found the log
	// out
	// of reach, and that a relay which was gone kept the others from agreeing without it.
	@Test
	void refusedTurnLeadsToTheLostLog() throws Exception {
		String story = CommandRun.of("explain", "1539c6b1500caf64", log()).out();
		assertThat(story.lines().findFirst().orElseThrow()).contains("E4018 REQUEST_REFUSED", "reason=LOG_LOST",
				"verdict=NOT_RUN");
		assertThat(story).containsSubsequence("before: E3008 PEER_LOST", "Connection reset",
				"before: E3011 REACH_CHANGED reason=RELAYS");
	}

	@Test
	void brokenStreamLeadsToItsUpstream() throws Exception {
		String story = CommandRun.of("explain", "c695fe5fd8a22140", log()).out();
		assertThat(story).containsSubsequence("E4022 REQUEST_PLACED",
				"candidates='i-3ad0620850 cost=22 load=1 unread=955", "E4017 ATTEMPT_FAILED", "reason=BROKEN count=6",
				"upstream=i-3ad0620850", "E4021 STREAM_BROKEN_OFF", "reason=ANSWER_LOST");
	}

	@Test
	void callWithAnUnknownOutcomeLeadsToTheUpstreamThatMayHaveRunIt() throws Exception {
		String story = CommandRun.of("explain", "681dba1e99b42468", log()).out();
		assertThat(story).containsSubsequence("E4022 REQUEST_PLACED", "upstream=i-c3d6290ff9", "E4017 ATTEMPT_FAILED",
				"E4018 REQUEST_REFUSED", "verdict=MAY_HAVE_RUN reason=ANSWER_LOST");
	}

	@Test
	void logIsReadFromStandardInputWhereNoFileIsNamed() throws Exception {
		String text = Files.readString(Path.of(log()));
		assertThat(CommandRun.withInput(text, "explain", "681dba1e99b42468").code()).isEqualTo(ExitCode.OK);
	}

	@Test
	void unknownRequestIsToldWithWhatWasRead() throws Exception {
		CommandRun run = CommandRun.withInput("no event\n", "explain", "r1");
		assertThat(run.code()).isEqualTo(ExitCode.FAILED);
		assertThat(run.err()).contains("no line names the request r1", "1 lines were no events");
	}

	@Test
	void missingFileAndMissingRequestAreTold() {
		assertThat(CommandRun.of("explain", "r1", "no-such-file").code()).isEqualTo(ExitCode.FAILED);
		assertThat(CommandRun.of("explain").code()).isEqualTo(ExitCode.USAGE);
	}

	private String log() throws Exception {
		Path file = this.folder.resolve("outages.log");
		try (InputStream lines = ExplainCommandTests.class
			.getResourceAsStream("/io/lentilslip/application/story/outages.log")) {
			Files.writeString(file, new String(lines.readAllBytes(), StandardCharsets.UTF_8));
		}
		return file.toString();
	}

}
