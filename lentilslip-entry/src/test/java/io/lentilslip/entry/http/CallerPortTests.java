package io.lentilslip.entry.http;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.Header;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.configuration.CallerPolicy;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.GroupPolicy;
import io.lentilslip.core.configuration.ModelPolicy;
import io.lentilslip.core.configuration.PolicyName;
import io.lentilslip.core.configuration.TokenCost;
import io.lentilslip.core.entry.EntryEffect;
import io.lentilslip.core.entry.EntryEvent;
import io.lentilslip.core.entry.Payload;
import io.lentilslip.core.entry.Submission;
import io.lentilslip.core.entry.Ticket;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.ledger.EndReason;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.link.LinkMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class CallerPortTests {

	private static final String HELLO = """
			{"model":"m","messages":[{"role":"user","content":"hi"}],"temperature":0.5}""";

	private static final String STREAM = """
			{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true,\
			"stream_options":{"include_usage":true}}""";

	private static final String MESSAGE = """
			{"role":"assistant","content":"good day"}""";

	private static final String TOOL_MESSAGE = """
			{"role":"assistant","content":null,"tool_calls":[{"id":"c1","type":"function",\
			"function":{"name":"price","arguments":"{}"}}]}""";

	@Test
	void wholeAnswerHasTheShapeOfACompletion() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> List.of(ScriptedEntry.answered(ScriptedEntry.ticketOf(event), MESSAGE, "stop")))) {
			HttpResponse<String> response = entry.chat(HELLO, "Lentilslip-Program", "p", "Lentilslip-Call", "3");
			ObjectNode root = Json.readObject(response.body()).orElseThrow();
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(root.path("object").textValue()).isEqualTo("chat.completion");
			assertThat(root.at("/choices/0/message/content").textValue()).isEqualTo("good day");
			assertThat(root.at("/choices/0/finish_reason").textValue()).isEqualTo("stop");
			assertThat(root.at("/usage/total_tokens").intValue()).isEqualTo(14);
			assertThat(response.headers().firstValue("Lentilslip-Program")).contains("p");
			assertThat(response.headers().firstValue("Lentilslip-Call")).contains("3");
			assertThat(response.headers().firstValue("Lentilslip-Durability")).contains("committed");
		}
	}

	@Test
	void headersAndBodyBecomeASubmission() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> List.of(ScriptedEntry.answered(ScriptedEntry.ticketOf(event), MESSAGE, "stop")))) {
			entry.chat(HELLO, "Lentilslip-Program", "child", "Lentilslip-Parent", "root", "Lentilslip-Call", "2",
					"Lentilslip-History", "new", "Idempotency-Key", "k", "Lentilslip-Deadline", "1500");
			Submission submission = entry.next(EntryEvent.CallArrived.class).submission();
			assertThat(submission.caller()).isEqualTo(Digest.of("secret"));
			assertThat(submission.program()).contains(new ProgramName("child"));
			assertThat(submission.parent()).contains(new ProgramName("root"));
			assertThat(submission.number()).contains(2);
			assertThat(submission.key().orElseThrow().value()).isEqualTo("k");
			assertThat(submission.timeLeft()).contains(Duration.ofMillis(1500));
			assertThat(submission.payload()).isEqualTo(new Payload.ForModel(new ModelName("m"), HistoryMode.NEW,
					List.of("{\"content\":\"hi\",\"role\":\"user\"}"), Optional.empty(), "{\"temperature\":0.5}",
					false));
		}
	}

	@Test
	void streamBeginsWithTheRoleAndEndsWithUsageAndMark() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> streamed(ScriptedEntry.ticketOf(event), MESSAGE, "stop", "go", "od"))) {
			HttpResponse<String> response = entry.chat(STREAM);
			List<String> data = data(response);
			assertThat(response.headers().firstValue("Content-Type")).contains("text/event-stream");
			assertThat(at(data.getFirst(), "/choices/0/delta/role")).isEqualTo("assistant");
			assertThat(text(data)).isEqualTo("good day");
			assertThat(at(data.get(data.size() - 3), "/choices/0/finish_reason")).isEqualTo("stop");
			assertThat(at(data.get(data.size() - 3), "/lentilslip/durability")).isEqualTo("committed");
			assertThat(at(data.get(data.size() - 2), "/usage/completion_tokens")).isEqualTo("3");
			assertThat(data.getLast()).isEqualTo("[DONE]");
			assertThat(data.stream().limit(data.size() - 1L).map((chunk) -> at(chunk, "/id")).distinct()).hasSize(1);
		}
	}

	@Test
	void toolCallsComeWholeInOneChunk() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> streamed(ScriptedEntry.ticketOf(event), TOOL_MESSAGE, "tool_calls"))) {
			List<String> data = data(entry.chat(STREAM));
			List<String> calls = data.stream().filter((chunk) -> chunk.contains("tool_calls\":[")).toList();
			assertThat(calls).hasSize(1);
			assertThat(at(calls.getFirst(), "/choices/0/delta/tool_calls/0/index")).isEqualTo("0");
			assertThat(at(calls.getFirst(), "/choices/0/delta/tool_calls/0/function/name")).isEqualTo("price");
			assertThat(data.getLast()).isEqualTo("[DONE]");
		}
	}

	// The caller reads text of a stream whose call then fails. What it has must not pass
	// for the whole answer: the error follows as the last event, and the mark that ends
	// whole answers is missing.
	@Test
	void failureInsideAStreamIsItsLastEvent() throws Exception {
		CallFailure failure = CallFailure.mayHaveRun(FailureCause.UPSTREAM_FAILED, "the upstream failed");
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> List.of(new EntryEffect.Deliver(ScriptedEntry.ticketOf(event), "go"),
					ScriptedEntry.failed(ScriptedEntry.ticketOf(event), failure)))) {
			HttpResponse<String> response = entry.chat(STREAM);
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(at(data(response).getLast(), "/error/code")).isEqualTo("upstream_failed");
			assertThat(at(data(response).getLast(), "/verdict")).isEqualTo("may_have_run");
		}
	}

	// The caller has text that the final message does not begin with, as after a fault in
	// a sidecar. Sending the rest would give it an answer that no engine gave.
	@Test
	void messageThatContradictsTheStreamIsAnError() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> streamed(ScriptedEntry.ticketOf(event), MESSAGE, "stop", "bad"))) {
			List<String> data = data(entry.chat(STREAM));
			assertThat(at(data.getLast(), "/verdict")).isEqualTo("ran");
			assertThat(data).doesNotContain("[DONE]");
		}
	}

	@Test
	void characterCutBetweenTwoPartsArrivesWhole() throws Exception {
		String boat = "\u26f5\ud83d\udea4";
		try (ScriptedEntry entry = ScriptedEntry.following((event) -> streamed(ScriptedEntry.ticketOf(event),
				Json.object().put("content", boat).toString(), "stop", boat.substring(0, 2), boat.substring(2)))) {
			assertThat(text(data(entry.chat(STREAM)))).isEqualTo(boat);
		}
	}

	@ParameterizedTest
	@EnumSource(FailureCause.class)
	void failureHasStatusShapeAndVerdict(FailureCause cause) throws Exception {
		CallFailure failure = CallFailure.notRun(cause, "a sentence").retryAfter(Duration.ofMillis(1200));
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> List.of(ScriptedEntry.failed(ScriptedEntry.ticketOf(event), failure)))) {
			HttpResponse<String> response = entry.chat(STREAM);
			assertThat(response.statusCode()).isEqualTo(cause.status());
			assertThat(response.headers().firstValue("Retry-After")).contains("2");
			assertThat(response.headers().firstValue("x-should-retry")).contains("" + cause.isTransient());
			assertThat(at(response.body(), "/error/message")).isEqualTo("a sentence");
			assertThat(at(response.body(), "/error/code")).isEqualToIgnoringCase(cause.name());
			assertThat(at(response.body(), "/verdict")).isEqualTo("not_run");
		}
	}

	// A reducer with a full mailbox never sees the call, so "not run" is true, and the
	// place that the call had taken is free again.
	@Test
	void callThatTheReducerCannotTakeDidNotRun() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry.following((event) -> List.of()).refusing()) {
			HttpResponse<String> response = entry.chat(HELLO);
			assertThat(response.statusCode()).isEqualTo(429);
			assertThat(at(response.body(), "/verdict")).isEqualTo("not_run");
			assertThat(entry.port().openCalls()).isZero();
		}
	}

	@Test
	void badHeadersAreRefusedByName() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry.following((event) -> List.of())) {
			assertRefused(entry.chat(HELLO, "Lentilslip-Call", "0"), "Lentilslip-Call");
			assertRefused(entry.chat(HELLO, "Lentilslip-Call", "1"), "Lentilslip-Program");
			assertRefused(entry.chat(HELLO, "Lentilslip-Deadline", "soon"), "Lentilslip-Deadline");
			assertRefused(entry.chat(HELLO, "Lentilslip-History", "half"), "Lentilslip-History");
			assertRefused(entry.chat(HELLO, "Lentilslip-Program", "p", "Lentilslip-History", "new"), "Lentilslip-Call");
			assertRefused(entry.chat(HELLO, "Lentilslip-Program", "p", "Lentilslip-Parent", "p"), "parent");
			assertRefused(entry.chat(HELLO, "Idempotency-Key", "a", "Idempotency-Key", "b"), "Idempotency-Key");
		}
	}

	@Test
	void requestWithoutAKeyIsUnauthorized() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry.following((event) -> List.of())) {
			HttpResponse<String> response = entry
				.send(entry.request("/v1/models").setHeader("Authorization", "Basic x"));
			assertThat(response.statusCode()).isEqualTo(401);
			assertThat(at(response.body(), "/error/type")).isEqualTo("authentication_error");
		}
	}

	@Test
	void unknownPathHasTheShapeOfAnError() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry.following((event) -> List.of())) {
			HttpResponse<String> response = entry.send(entry.request("/v1/nothing"));
			assertThat(response.statusCode()).isEqualTo(404);
			assertThat(at(response.body(), "/verdict")).isEqualTo("not_run");
		}
	}

	@Test
	void modelsAreListedForKnownCallers() throws Exception {
		Configuration configuration = Configuration.ofSite(new PolicyName("site"))
			.with(new GroupPolicy(new GroupName("desk"), 1, Optional.empty(), Optional.empty()))
			.with(new CallerPolicy(new PolicyName("caller"), new GroupName("desk"), Digest.of("secret")))
			.with(new ModelPolicy(new ModelName("m"), 100, 10, TokenCost.DEFAULT))
			.build();
		try (ScriptedEntry entry = ScriptedEntry.configured(configuration)) {
			HttpResponse<String> known = entry.send(entry.request("/v1/models"));
			HttpResponse<String> unknown = entry
				.send(entry.request("/v1/models").setHeader("Authorization", "Bearer other"));
			assertThat(at(known.body(), "/data/0/id")).isEqualTo("m");
			assertThat(unknown.statusCode()).isEqualTo(401);
		}
	}

	@Test
	void programIsShownWithItsHistory() throws Exception {
		LinkMessage.ProgramView view = new LinkMessage.ProgramView(
				new ProgramId(new GroupName("desk"), new ProgramName("a/b")), new Epoch(2), 4, 1,
				Optional.of(EndReason.IDLE), List.of(MESSAGE));
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> List.of(new EntryEffect.SendProgramState(ScriptedEntry.ticketOf(event), view)))) {
			HttpResponse<String> response = entry.send(entry.request("/v1/programs/a%2Fb"));
			assertThat(entry.next(EntryEvent.ProgramStateRequested.class).program()).isEqualTo(new ProgramName("a/b"));
			assertThat(at(response.body(), "/id")).isEqualTo("a/b");
			assertThat(at(response.body(), "/state")).isEqualTo("ended");
			assertThat(at(response.body(), "/last_call")).isEqualTo("4");
			assertThat(at(response.body(), "/messages/0/content")).isEqualTo("good day");
		}
	}

	@Test
	void programIsEnded() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> List.of(ScriptedEntry.answered(ScriptedEntry.ticketOf(event), MESSAGE, "stop")))) {
			HttpResponse<String> response = entry.send(entry.request("/v1/programs/p").DELETE());
			assertThat(entry.next(EntryEvent.ProgramEndRequested.class).caller()).isEqualTo(Digest.of("secret"));
			assertThat(at(response.body(), "/deleted")).isEqualTo("true");
		}
	}

	@Test
	void serviceCallPassesWithoutWhatIsNotTheServices() throws Exception {
		CallResponse answer = new CallResponse.FromService(201,
				List.of(new Header("Set-Cookie", "a=1"), new Header("Set-Cookie", "b=2"),
						new Header("Transfer-Encoding", "chunked"), new Header("Lentilslip-Call", "9")),
				Body.of("done"));
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> List.of(new EntryEffect.Complete(ScriptedEntry.ticketOf(event),
					new CallOutcome.Completed(answer, Durability.NOT_KEPT, 0))))) {
			HttpResponse<String> response = entry.send(entry.request("/v1/services/price/boats/%61?x=%2F")
				.headers("Idempotency-Key", "k", "X-Own", "v", "Content-Type", "application/x-www-form-urlencoded")
				.POST(HttpRequest.BodyPublishers.ofString("a=b")));
			Payload.ForService payload = (Payload.ForService) entry.next(EntryEvent.CallArrived.class)
				.submission()
				.payload();
			assertThat(payload.message().method()).isEqualTo("POST");
			assertThat(payload.message().path()).isEqualTo("/boats/a?x=%2F");
			assertThat(payload.message().body().toText()).isEqualTo("a=b");
			assertThat(payload.message().headers()).contains(new Header("Idempotency-Key", "k"),
					new Header("X-Own", "v"));
			assertThat(payload.message().headers()).extracting(Header::name)
				.doesNotContain("Authorization", "Host", "Connection");
			assertThat(response.statusCode()).isEqualTo(201);
			assertThat(response.body()).isEqualTo("done");
			assertThat(response.headers().allValues("Set-Cookie")).containsExactly("a=1", "b=2");
			assertThat(response.headers().firstValue("Lentilslip-Call")).isEmpty();
		}
	}

	@Test
	void servicePathThatEscapesIsRefused() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry.following((event) -> List.of())) {
			assertRefused(entry.send(entry.request("/v1/services/price/a%2F..%2Fping")), "path");
			assertRefused(entry.send(entry.request("/v1/services/price/%2e%2e/ping")), "path");
		}
	}

	private static List<EntryEffect> streamed(Ticket ticket, String message, String finishReason, String... parts) {
		List<EntryEffect> effects = new ArrayList<>();
		for (String part : parts) {
			effects.add(new EntryEffect.Deliver(ticket, part));
		}
		effects.add(ScriptedEntry.answered(ticket, message, finishReason));
		return effects;
	}

	private static void assertRefused(HttpResponse<String> response, String mentioned) {
		assertThat(response.statusCode()).isEqualTo(400);
		assertThat(at(response.body(), "/error/message")).contains(mentioned);
		assertThat(at(response.body(), "/verdict")).isEqualTo("not_run");
	}

	private static List<String> data(HttpResponse<String> response) {
		return response.body()
			.lines()
			.filter((line) -> line.startsWith("data: "))
			.map((line) -> line.substring("data: ".length()))
			.toList();
	}

	private static String text(List<String> data) {
		StringBuilder text = new StringBuilder();
		data.stream()
			.filter((chunk) -> chunk.startsWith("{"))
			.forEach((chunk) -> text.append(at(chunk, "/choices/0/delta/content")));
		return text.toString();
	}

	private static String at(String json, String path) {
		return Json.readObject(json).orElseThrow().at(path).asText();
	}

}
