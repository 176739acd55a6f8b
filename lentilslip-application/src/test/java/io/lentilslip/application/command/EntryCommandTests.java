package io.lentilslip.application.command;

import java.io.IOException;
import java.nio.file.Path;

import io.lentilslip.runtime.node.StopSignals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class EntryCommandTests {

	private static final String PORTS = """
			[listen]
			callers = 127.0.0.1:0
			links = 127.0.0.1:0
			admin = 127.0.0.1:0
			""";

	@TempDir
	private Path folder;

	// The platform is not there, and the request to stop comes before the entry has
	// started. The entry opens its ports, ends by the request and counts as drained.
	@Test
	void requestToStopBeforeTheStartIsKept() throws IOException {
		CommandRun run = CommandRun.of("entry", "--settings", CommandRun.settings(this.folder, PORTS));
		assertThat(run.code()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).matches("vm-1: callers 127\\.0\\.0\\.1:[1-9]\\d*, admin 127\\.0\\.0\\.1:[1-9]\\d*\\R");
	}

	@Test
	void secondRequestToStopCutsTheEntryOff() throws IOException {
		CommandRun run = CommandRun.stoppedBy((atSecond) -> {
			StopSignals signals = new StopSignals(atSecond);
			signals.signal();
			signals.signal();
			return signals;
		}, "entry", "--settings", CommandRun.settings(this.folder, PORTS));
		assertThat(run.code()).isEqualTo(ExitCode.CUT_OFF);
	}

	@Test
	void everyProblemOfTheSettingsIsTold() throws IOException {
		CommandRun run = CommandRun.of("entry", "--settings", CommandRun.settings(this.folder, PORTS), "--set",
				"listen.admin=here", "--set", "process.zone=");
		assertThat(run.code()).isEqualTo(ExitCode.REFUSED);
		assertThat(run.out()).isEmpty();
		assertThat(run.err()).contains("(command line): [listen] admin: found 'here'", "[process] zone:");
	}

	@Test
	void settingsThatAreMissingAreRefused() {
		CommandRun run = CommandRun.of("entry", "--settings", this.folder.resolve("none.ini").toString());
		assertThat(run.code()).isEqualTo(ExitCode.REFUSED);
		assertThat(run.err()).contains("none.ini", "expected a file that can be read");
	}

}
