package io.lentilslip.verification.fault;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import io.lentilslip.standin.engine.EngineStandIn;
import io.lentilslip.standin.tool.ToolBehaviour;
import io.lentilslip.standin.tool.ToolServiceStandIn;
import io.lentilslip.verification.fault.FaultProxy.Direction;
import io.lentilslip.verification.process.ChatCall;
import io.lentilslip.verification.process.Http;
import io.lentilslip.verification.process.Site;
import io.lentilslip.verification.process.SitePlan;
import io.lentilslip.verification.process.StreamedAnswer;
import io.lentilslip.verification.process.Waiting;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Calls that run at most once, whoever dies or whatever is lost.
 */
class OnceTests extends SiteFixture {

	private static final String KEY = "ring-1";

	private static final String BODY = "{\"berth\":7}";

	// The entry dies while it passes a stream on. Its caller sends the numbered call
	// again
	// through another entry, which finds the home still at it: the caller gets the whole
	// answer of that one run.
	@Test
	void entryKilledInTheMiddleOfACall() {
		Site site = start(SitePlan.of(2, 2, 0));
		ChatCall call = ChatCall.of(question(1, LONG)).turn(PROGRAM, 1);
		StreamedAnswer stream = caller().stream(site.entry(1), call);
		stream.awaitWords(UNDER_WAY);
		site.entry(1).kill();
		stream.awaitEnd();
		assertThat(stream.isWhole()).isFalse();
		String answer = content(caller().chat(site.entry(2), call));
		assertThat(site.engines().values().stream().mapToLong(EngineStandIn::generatedTokens).sum()).isEqualTo(LONG);
		assertThat(answer).isEqualTo(undisturbed(site.entry(2), ChatCall.of(question(1, LONG))));
	}

	// The service has run the call, and its answer is lost on the way to the sidecar. The
	// caller is told that it may have run, and so is a resend through another entry,
	// which must not run it a second time.
	@Test
	void answerOfAServiceLostOnTheWay() {
		Site site = start(SitePlan.of(2, 0, 2));
		site.services()
			.keySet()
			.forEach((vm) -> site.upstream(vm).set(new FaultProxy.Fault.ResetAfter(Direction.TO_CLIENT, 0)));
		HttpResponse<String> first = caller().service(site.entry(1), KEY, BODY);
		assertThat(verdict(first)).as(first.body()).isEqualTo("may_have_run");
		assertThat(site.serviceRuns(KEY)).isEqualTo(1);
		site.services().keySet().forEach((vm) -> site.upstream(vm).set(new FaultProxy.Fault.None()));
		HttpResponse<String> second = caller().service(site.entry(2), KEY, BODY);
		assertThat(verdict(second)).as(second.body()).isIn("may_have_run", "ran");
		assertThat(site.serviceRuns(KEY)).isEqualTo(1);
	}

	// The entry dies while a service works. A resend through another entry meets the same
	// key at the sidecar that runs it, waits for that run and gets its answer.
	@Test
	void entryKilledWhileAServiceWorks() {
		Site site = start(SitePlan.of(2, 0, 2));
		beginHanging(site);
		site.entry(1).kill();
		CompletableFuture<HttpResponse<String>> second = caller().beginService(site.entry(2), KEY, BODY);
		Waiting.until("the resend", () -> site.entry(2).status().path("calls").asInt() == 1);
		site.services().values().forEach(ToolServiceStandIn::releaseHanging);
		HttpResponse<String> answer = second.join();
		assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
		assertThat(Http.json(answer).path("run").asInt()).isEqualTo(1);
		assertThat(site.serviceRuns(KEY)).isEqualTo(1);
	}

	// The sidecar dies while the service works, and comes back with an empty memory.
	// Neither it nor another sidecar may take that for "not run": every resend, by
	// whichever entry, hears that the call may have run.
	@Test
	void sidecarKilledWhileAServiceWorks() {
		Site site = start(SitePlan.of(2, 0, 2));
		CompletableFuture<HttpResponse<String>> first = beginHanging(site);
		String vm = site.services()
			.entrySet()
			.stream()
			.filter((service) -> service.getValue().hanging() == 1)
			.findFirst()
			.orElseThrow()
			.getKey();
		site.process(vm).kill();
		assertThat(verdict(first.join())).as(first.join().body()).isEqualTo("may_have_run");
		assertThat(verdict(caller().service(site.entry(2), KEY, BODY))).isEqualTo("may_have_run");
		site.services().values().forEach((service) -> service.always(new ToolBehaviour.Answer()));
		site.restartSidecar(vm);
		site.entries().forEach((entry) -> site.awaitLinked(entry, vm));
		site.entries()
			.forEach((entry) -> assertThat(verdict(caller().service(entry, KEY, BODY))).isEqualTo("may_have_run"));
		assertThat(site.serviceRuns(KEY)).isEqualTo(1);
	}

	// The same key comes with another body: neither the first one's answer nor a run.
	@Test
	void keyWithAnotherBody() {
		Site site = start(SitePlan.of(2, 0, 1));
		assertThat(caller().service(site.entry(1), KEY, BODY).statusCode()).isEqualTo(200);
		HttpResponse<String> other = caller().service(site.entry(2), KEY, "{\"berth\":8}");
		assertThat(other.statusCode()).isEqualTo(409);
		assertThat(code(other)).isEqualTo("key_reused");
		assertThat(site.serviceRuns(KEY)).isEqualTo(1);
	}

	private CompletableFuture<HttpResponse<String>> beginHanging(Site site) {
		site.services().values().forEach((service) -> service.always(new ToolBehaviour.Hang()));
		CompletableFuture<HttpResponse<String>> first = caller().beginService(site.entry(1), KEY, BODY);
		Waiting.until("the service to work",
				() -> site.services().values().stream().mapToInt(ToolServiceStandIn::hanging).sum() == 1);
		return first;
	}

}
