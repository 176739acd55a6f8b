package io.lentilslip.application.demo;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import io.lentilslip.application.demo.DemoReport.GroupLine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

class DemoTests {

	// The whole site in this process: programs of both groups run at once over HTTP. The
	// run itself compares each program's history with what its caller saw.
	@Test
	@Timeout(180)
	void everyProgramEndsWholeAndNothingIsHeld() throws Exception {
		ByteArrayOutputStream steps = new ByteArrayOutputStream();
		try (Demo demo = Demo.start(new Progress(new PrintStream(steps, true, StandardCharsets.UTF_8)))) {
			DemoReport report = demo.run();
			assertThat(report.groups()).extracting(GroupLine::group).containsExactlyInAnyOrder("buyers", "sellers");
			assertThat(report.groups()).extracting(GroupLine::programs).containsExactlyInAnyOrder(6, 4);
			assertThat(report.groups()).extracting(GroupLine::calls).containsExactlyInAnyOrder(24, 12);
			assertThat(report.groups()).allMatch((line) -> line.use().cached() > 0);
			assertThat(report.toolRuns()).hasSize(10).containsEntry("buyer-1-tool", 1).containsEntry("draft-4-tool", 1);
			assertThat(report.toolRuns().values()).containsOnly(1);
			assertThat(report.heldTokens()).isZero();
			assertThat(report.json().path("held_tokens").asInt()).isZero();
			assertThat(demo.commands()).anyMatch((command) -> command.startsWith("curl -N http://127.0.0.1:"));
		}
		assertThat(steps.toString(StandardCharsets.UTF_8)).contains("buyer-1    streams: ", "sub-agent buyer-6-photos");
	}

}
