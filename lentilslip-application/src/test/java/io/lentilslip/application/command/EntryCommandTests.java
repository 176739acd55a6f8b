package io.lentilslip.application.command;

import java.io.IOException;
import java.nio.file.Path;

import io.lentilslip.standin.tool.ToolServiceStandIn;
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

	// The platform is not there. The request to stop comes right after the start.
	@Test
	void entryRunsUntilItIsStopped() throws IOException {
		CommandRun run = CommandRun.of("entry", "--settings", CommandRun.settings(this.folder, PORTS));
		assertThat(run.code()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).matches("vm-1: callers 127\\.0\\.0\\.1:[1-9]\\d*, admin 127\\.0\\.0\\.1:[1-9]\\d*\\R");
	}

	// An entry that opens its ports although it is to stop may take a call and drop it.
	// Here it could not open them: another process has one of them.
	@Test
	void entryThatIsToStopBeforeItsStartOpensNoPort() throws IOException {
		try (ToolServiceStandIn other = ToolServiceStandIn.start()) {
			CommandRun run = CommandRun.stoppedBefore(1, "entry", "--settings", CommandRun.settings(this.folder, PORTS),
					"--set", "listen.callers=127.0.0.1:" + other.address().getPort());
			assertThat(run).isEqualTo(new CommandRun(ExitCode.OK, "", ""));
		}
	}

	@Test
	void secondRequestToStopCutsTheEntryOff() throws IOException {
		CommandRun run = CommandRun.stoppedBefore(2, "entry", "--settings", CommandRun.settings(this.folder, PORTS));
		assertThat(run.code()).isEqualTo(ExitCode.CUT_OFF);
	}

	@Test
	void relayThatIsToStopBeforeItsStartReadsNoSettings() {
		assertThat(CommandRun.stoppedBefore(1, "relay")).isEqualTo(new CommandRun(ExitCode.OK, "", ""));
		assertThat(CommandRun.stoppedBefore(2, "relay").code()).isEqualTo(ExitCode.CUT_OFF);
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
