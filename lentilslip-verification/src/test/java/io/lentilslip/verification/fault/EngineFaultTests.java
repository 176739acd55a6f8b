package io.lentilslip.verification.fault;

import java.net.http.HttpResponse;

import io.lentilslip.standin.engine.EngineStandIn;
import io.lentilslip.verification.process.ChatCall;
import io.lentilslip.verification.process.Http;
import io.lentilslip.verification.process.Site;
import io.lentilslip.verification.process.SitePlan;
import io.lentilslip.verification.process.StreamedAnswer;
import io.lentilslip.verification.process.Waiting;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What becomes of the engines' memory, and of the engines themselves.
 */
class EngineFaultTests extends SiteFixture {

	// A program holds its cache in an engine between its turns. Its end releases it.
	@Test
	void memoryIsReleasedAtTheEndOfAProgram() {
		Site site = start(SitePlan.of(2, 2, 0));
		takeTurn(site.entry(1), NOTHING, 1);
		assertThat(held(site)).isPositive();
		assertThat(caller().end(site.entry(2), PROGRAM).statusCode()).isLessThan(300);
		Waiting.until("the memory to be released", () -> held(site) == 0);
		HttpResponse<String> late = caller().chat(site.entry(1), ChatCall.of("hello?").turn(PROGRAM, 2));
		assertThat(late.statusCode()).isEqualTo(410);
		assertThat(held(site)).isZero();
	}

	// The entry dies in the middle of a stream and can't say that the program ended. Its
	// end through the other entry releases what the run has taken since.
	@Test
	void memoryIsReleasedAfterTheDeathOfAnEntry() {
		Site site = start(SitePlan.of(2, 2, 0));
		takeTurn(site.entry(1), NOTHING, 1);
		StreamedAnswer stream = caller().stream(site.entry(1), ChatCall.of(question(2, LONG)).turn(PROGRAM, 2));
		stream.awaitWords(UNDER_WAY);
		site.entry(1).kill();
		assertThat(caller().end(site.entry(2), PROGRAM).statusCode()).isLessThan(300);
		Waiting.until("the memory to be released", () -> held(site) == 0);
	}

	// One request crashes every engine that runs it, and its caller sends it again
	// through
	// another entry. After two crashes nobody runs it any more; other calls go on.
	@Test
	void requestThatCrashesEnginesIsStopped() {
		Site site = start(SitePlan.of(2, 3, 0));
		ChatCall crashing = ChatCall.of("[[crash]]").turn("wreck", 1);
		for (int attempt = 0; attempt < 4; attempt++) {
			caller().chat(site.entry(1 + attempt % 2), crashing);
		}
		HttpResponse<String> refused = caller().chat(site.entry(2), crashing);
		assertThat(refused.statusCode()).as(refused.body()).isEqualTo(422);
		assertThat(code(refused)).isEqualTo("crashes_upstreams");
		Waiting.until("the engines to be back",
				() -> site.engines().values().stream().allMatch((engine) -> engine.instance().isPresent()));
		assertThat(crashes(site)).isEqualTo(2);
		takeTurn(site.entry(1), NOTHING, 1);
	}

	private static int held(Site site) {
		return site.engines().values().stream().mapToInt(EngineStandIn::heldTokens).sum();
	}

	private static int crashes(Site site) {
		return site.engines()
			.values()
			.stream()
			.flatMap((engine) -> Http.json(Http.get(engine.address(), "/runs")).path("runs").properties().stream())
			.mapToInt((run) -> run.getValue().asInt())
			.sum();
	}

}
