package io.lentilslip.application.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lentilslip.application.demo.Caller.ModelAnswer;

/**
 * One program under way: a chain of calls in which the model asks for a tool, the caller
 * pauses for it, a sub-agent may work meanwhile, and the last answer is streamed. At its
 * end the history that the system holds is compared with what the caller saw, and the
 * program is ended. Used by one thread.
 */
final class ProgramRun implements Callable<ProgramResult> {

	private static final Duration TOOL_PAUSE = Duration.ofMillis(50);

	private static final int ANSWER_TOKENS = 40;

	private static final String PROGRAM = "Lentilslip-Program";

	private static final String CALL = "Lentilslip-Call";

	private static final String PARENT = "Lentilslip-Parent";

	private static final String HISTORY = "Lentilslip-History";

	private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private static final String ROLE = "role";

	private static final String CONTENT = "content";

	private final ProgramPlan plan;

	private final Caller caller;

	private final Progress progress;

	private final List<ObjectNode> transcript = new ArrayList<>();

	private int calls;

	private int subAgentCalls;

	private TokenUse use = TokenUse.NONE;

	/**
	 * Creates a run.
	 * @param plan what the program does
	 * @param caller what sends its requests
	 * @param progress where its steps are shown
	 */
	ProgramRun(ProgramPlan plan, Caller caller, Progress progress) {
		this.plan = plan;
		this.caller = caller;
		this.progress = progress;
	}

	@Override
	public ProgramResult call() throws DemoException, InterruptedException {
		long begin = System.nanoTime();
		ModelAnswer wish = ask(user(this.plan.instructions() + " What do we say about boat " + this.plan.name()
				+ "? [[tool:look_up {\"boat\":\"" + this.plan.name() + "\"}]]"));
		ask(useTool(wish));
		String found = runSubAgent();
		answerVisibly(user("Put it in three sentences. " + found));
		Duration latency = Duration.ofNanos(System.nanoTime() - begin);
		checkHistory();
		this.caller.send("DELETE", "programs/" + this.plan.name(), headers(), Optional.empty());
		this.progress.show(this.plan.name(), "ended after " + latency.toMillis() + " ms");
		return new ProgramResult(this.plan, latency, this.calls + this.subAgentCalls, this.use);
	}

	private ObjectNode user(String text) {
		return JsonNodeFactory.instance.objectNode().put(ROLE, "user").put(CONTENT, text);
	}

	private ModelAnswer ask(ObjectNode message) throws DemoException {
		ObjectNode request = request(message);
		ModelAnswer answer = this.caller.complete(callHeaders(), request);
		take(answer);
		this.progress.show(this.plan.name(), "call " + this.calls + ": " + answer.finishReason() + ", "
				+ answer.use().cached() + " of " + answer.use().prompt() + " prompt tokens cached");
		return answer;
	}

	private void answerVisibly(ObjectNode message) throws DemoException {
		ObjectNode request = request(message);
		ModelAnswer answer = this.caller.stream(callHeaders(), request,
				this.plan.shown() ? this.progress.ofStream(this.plan.name()) : (piece) -> {
				});
		take(answer);
		if (answer.use().generated() != ANSWER_TOKENS) {
			throw new DemoException(
					this.plan.name() + ": " + answer.use().generated() + " tokens streamed, expected " + ANSWER_TOKENS);
		}
	}

	private void take(ModelAnswer answer) {
		this.transcript.add(answer.message());
		this.use = this.use.plus(answer.use());
	}

	private ObjectNode request(ObjectNode message) {
		this.calls++;
		this.transcript.add(message);
		ObjectNode request = emptyRequest();
		ArrayNode messages = request.putArray("messages");
		if (this.plan.keepsHistory()) {
			this.transcript.forEach(messages::add);
		}
		else {
			messages.add(message);
		}
		return request;
	}

	private ObjectNode emptyRequest() {
		ObjectNode request = JsonNodeFactory.instance.objectNode().put("model", this.plan.model().value());
		return request.put("max_tokens", ANSWER_TOKENS);
	}

	private Map<String, String> headers() {
		return Map.of("Authorization", "Bearer " + this.plan.key());
	}

	private Map<String, String> callHeaders() {
		Map<String, String> headers = new HashMap<>(headers());
		headers.put(PROGRAM, this.plan.name());
		headers.put(CALL, Integer.toString(this.calls));
		headers.put(HISTORY, this.plan.keepsHistory() ? "whole" : "new");
		return headers;
	}

	// The pause stands for the time that a real tool takes on the caller's side.
	private ObjectNode useTool(ModelAnswer wish) throws DemoException, InterruptedException {
		JsonNode call = wish.message().path("tool_calls").path(0);
		if (call.isMissingNode()) {
			throw new DemoException(this.plan.name() + ": the model asked for no tool but said " + wish.message());
		}
		Thread.sleep(TOOL_PAUSE);
		Map<String, String> headers = new HashMap<>(headers());
		headers.put(IDEMPOTENCY_KEY, this.plan.toolKey());
		ObjectNode body = JsonNodeFactory.instance.objectNode().put("boat", this.plan.name());
		JsonNode result = this.caller.send("POST", "services/" + this.plan.toolPath(), headers, Optional.of(body));
		this.progress.show(this.plan.name(), "tool " + this.plan.toolPath() + ": run " + result.path("run").asText());
		ObjectNode message = JsonNodeFactory.instance.objectNode().put(ROLE, "tool");
		return message.put("tool_call_id", call.path("id").asText()).put(CONTENT, result.toString());
	}

	private String runSubAgent() throws DemoException {
		if (this.plan.subAgent().isEmpty()) {
			return "";
		}
		Map<String, String> headers = new HashMap<>(headers());
		headers.put(PROGRAM, this.plan.subAgent().get());
		headers.put(PARENT, this.plan.name());
		headers.put(CALL, "1");
		ObjectNode request = emptyRequest();
		request.putArray("messages")
			.add(user(this.plan.instructions() + " Describe the photos of " + this.plan.name()));
		ModelAnswer answer = this.caller.complete(headers, request);
		this.use = this.use.plus(answer.use());
		this.subAgentCalls++;
		this.progress.show(this.plan.name(), "sub-agent " + this.plan.subAgent().get() + " answered");
		return answer.message().path(CONTENT).asText();
	}

	private void checkHistory() throws DemoException {
		JsonNode view = this.caller.send("GET", "programs/" + this.plan.name(), headers(), Optional.empty());
		JsonNode held = view.path("messages");
		boolean whole = view.path("last_call").asInt() == this.calls && held.size() == this.transcript.size();
		for (int i = 0; whole && i < held.size(); i++) {
			whole = isSame(held.get(i), this.transcript.get(i));
		}
		if (!whole) {
			throw new DemoException(this.plan.name() + ": the history held differs from what the caller saw: " + view);
		}
		if (!view.path("group").asText().equals(this.plan.group().value())) {
			throw new DemoException(this.plan.name() + " was charged to group " + view.path("group").asText());
		}
	}

	private static boolean isSame(JsonNode held, JsonNode seen) {
		return held.path(ROLE).equals(seen.path(ROLE)) && text(held).equals(text(seen))
				&& held.path("tool_calls").equals(seen.path("tool_calls"));
	}

	private static String text(JsonNode message) {
		return message.hasNonNull(CONTENT) ? message.get(CONTENT).asText() : "";
	}

}
