package io.lentilslip.verification.fault;

import java.net.http.HttpResponse;
import java.util.stream.StreamSupport;

import io.lentilslip.standin.engine.EngineStandIn;
import io.lentilslip.verification.process.ChatCall;
import io.lentilslip.verification.process.RunningProcess;
import io.lentilslip.verification.process.Site;
import io.lentilslip.verification.process.SitePlan;
import io.lentilslip.verification.process.StreamedAnswer;
import io.lentilslip.verification.process.Waiting;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What callers see when a process is asked to stop.
 */
class DrainTests extends SiteFixture {

	private static final int CALLS = 6;

	// A sidecar gets SIGTERM while a stream runs at its engine. The stream is whole, the
	// sidecar ends by itself, and the calls that come meanwhile all go to the other one,
	// since the leaving one has told the entries.
	@Test
	void sidecarLeavesDuringAStream() {
		Site site = start(SitePlan.of(2, 2, 0));
		StreamedAnswer stream = caller().stream(site.entry(1), ChatCall.of(question(1, 2 * LONG)).turn(PROGRAM, 1));
		stream.awaitWords(UNDER_WAY);
		RunningProcess leaving = site.home();
		EngineStandIn engine = site.engines().get(leaving.vm());
		leaving.terminate();
		site.entries().forEach((entry) -> awaitLeaving(entry, leaving));
		for (int i = 0; i < CALLS; i++) {
			content(caller().chat(site.entry(1 + i % 2), ChatCall.of(question(i, UNDER_WAY))));
		}
		stream.awaitEnd();
		assertThat(stream.isWhole()).as(stream.toString()).isTrue();
		assertThat(engine.generatedTokens()).isEqualTo(2 * LONG);
		assertThat(leaving.awaitEnd()).isZero();
		ChatCall conversation = ChatCall.of(question(1, 2 * LONG)).then("assistant", stream.text());
		takeTurn(site.entry(2), conversation, 2);
	}

	// An entry gets SIGTERM while it passes a stream on. The stream is whole, a new call
	// at that entry is refused as not run, and the entry ends by itself.
	@Test
	void entryLeavesDuringAStream() {
		Site site = start(SitePlan.of(2, 1, 0));
		StreamedAnswer stream = caller().stream(site.entry(1), ChatCall.of(question(1, LONG)).turn(PROGRAM, 1));
		stream.awaitWords(UNDER_WAY);
		site.entry(1).terminate();
		Waiting.until("the entry to stop", () -> !site.entry(1).isHealthy());
		HttpResponse<String> refused = caller().chat(site.entry(1), ChatCall.of("one more"));
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(code(refused)).isEqualTo("stopping");
		assertThat(verdict(refused)).isEqualTo("not_run");
		stream.awaitEnd();
		assertThat(stream.isWhole()).as(stream.toString()).isTrue();
		assertThat(stream.durability()).isEqualTo("committed");
		assertThat(site.entry(1).awaitEnd()).isZero();
		takeTurn(site.entry(2), ChatCall.of(question(1, LONG)).then("assistant", stream.text()), 2);
	}

	private static void awaitLeaving(RunningProcess entry, RunningProcess leaving) {
		Waiting.until(entry.vm() + " to know that " + leaving.vm() + " leaves",
				() -> StreamSupport.stream(entry.status().path("upstreams").spliterator(), false)
					.anyMatch((upstream) -> upstream.path("vm").asText().equals(leaving.vm())
							&& upstream.path("leaving").asBoolean()));
	}

}
