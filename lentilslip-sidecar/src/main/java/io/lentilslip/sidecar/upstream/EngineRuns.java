package io.lentilslip.sidecar.upstream;

import java.time.Instant;
import java.util.Optional;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lentilslip.client.engine.Engine;
import io.lentilslip.client.engine.EngineFailure;
import io.lentilslip.client.engine.EngineRequest;
import io.lentilslip.client.engine.GenerationEnd;
import io.lentilslip.client.engine.GenerationListener;
import io.lentilslip.client.engine.KvPin;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.sidecar.GenerationRequest;
import io.lentilslip.core.sidecar.RunId;
import io.lentilslip.core.sidecar.RunResult;
import io.lentilslip.core.sidecar.SidecarEvent;
import io.lentilslip.core.verdict.Verdict;
import io.lentilslip.runtime.conversation.CanonicalJson;

/**
 * Asks the engine for answers. Each request ends by exactly one
 * {@link SidecarEvent.RunEnded}. Safe for use by several threads.
 */
final class EngineRuns {

	private static final ObjectMapper MAPPER = new ObjectMapper()
		.enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS);

	private static final int LOWEST_CLIENT_ERROR = 400;

	private static final int LOWEST_SERVER_ERROR = 500;

	private final Engine engine;

	private final Incarnation self;

	private final Runs runs;

	private final UpstreamReports reports;

	private final Supplier<Instant> clock;

	/**
	 * Creates what asks an engine.
	 * @param engine the engine
	 * @param self the life of this process, part of the names of its requests
	 * @param runs the requests under way
	 * @param reports where events go
	 * @param clock the clock
	 */
	EngineRuns(Engine engine, Incarnation self, Runs runs, UpstreamReports reports, Supplier<Instant> clock) {
		this.engine = engine;
		this.self = self;
		this.runs = runs;
		this.reports = reports;
		this.clock = clock;
	}

	/**
	 * Asks for an answer. Returns at once.
	 * @param run the request
	 * @param order what to generate
	 */
	void generate(RunId run, GenerationRequest order) {
		this.runs.start(run, () -> begin(run, order), (fault) -> end(run, fault(fault)));
	}

	private Runnable begin(RunId run, GenerationRequest order) {
		try {
			return this.engine.generate(request(run, order), new Listener(run, order.prefix()))::cancel;
		}
		catch (IllegalArgumentException ex) {
			end(run, new RunResult.Rejected(LOWEST_CLIENT_ERROR, "the further fields are not a JSON object"));
			return () -> {
			};
		}
	}

	private EngineRequest request(RunId run, GenerationRequest order) {
		String id = this.self + "-" + run.value();
		EngineRequest request = EngineRequest.of(id, order.model(), messages(order))
			.withMaximumTokens(order.maximumTokens())
			.withFurtherFields(order.parameters());
		if (order.session().isPresent()) {
			request = request.withPin(KvPin.leased(session(order.session().get()), order.cacheLease()));
		}
		return order.prefix().isEmpty() ? request : request.continuingFinalMessage();
	}

	/**
	 * Returns the name by which the engine knows a program's session.
	 * @param program the program
	 * @return the name, another one for each program
	 */
	static String session(ProgramId program) {
		return program.toString();
	}

	private static String messages(GenerationRequest order) {
		StringBuilder array = new StringBuilder("[").append(String.join(",", order.messages()));
		if (!order.prefix().isEmpty()) {
			array.append(order.messages().isEmpty() ? "" : ",").append(message(order.prefix(), Optional.empty()));
		}
		return array.append(']').toString();
	}

	/**
	 * Returns an assistant's message in the form that messages of callers have. A caller
	 * who sends this answer back as part of the conversation would else be told that it
	 * does not match the history.
	 * @param content the text
	 * @param toolCalls the tool calls, if there are any
	 * @return the message as a JSON object
	 */
	static String message(String content, Optional<String> toolCalls) {
		ObjectNode message = JsonNodeFactory.instance.objectNode().put("role", "assistant").put("content", content);
		toolCalls.ifPresent((calls) -> message.set("tool_calls", read(calls)));
		return CanonicalJson.messageText(message);
	}

	private static JsonNode read(String json) {
		try {
			return MAPPER.readTree(json);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("tool calls that are no JSON", ex);
		}
	}

	/**
	 * Returns the result of a request that met a fault of ours.
	 * @param fault the fault
	 * @return a failure that takes nothing for granted
	 */
	static RunResult fault(RuntimeException fault) {
		return new RunResult.Failed(Verdict.MAY_HAVE_RUN, "fault of the sidecar: " + fault, false);
	}

	private void end(RunId run, RunResult result) {
		this.runs.ended(run);
		this.reports.post(new SidecarEvent.RunEnded(run, result, this.clock.get()));
	}

	/**
	 * Returns how a request ended that brought no whole answer. An error of the engine
	 * itself is no refusal of the request: another engine may take it.
	 * @param failure the failure
	 * @return the result
	 */
	static RunResult result(EngineFailure failure) {
		Verdict verdict = failure.verdict();
		return switch (failure.cause()) {
			case EngineFailure.Cause.Rejected rejected when verdict == Verdict.NOT_RUN && isRefusal(rejected) ->
				new RunResult.Rejected(rejected.status(), rejected.message());
			case EngineFailure.Cause.Rejected rejected ->
				new RunResult.Failed(verdict, "status " + rejected.status(), false);
			case EngineFailure.Cause.Broken broken ->
				new RunResult.Failed(verdict, broken.message(), verdict != Verdict.NOT_RUN);
			case EngineFailure.Cause.Refused refused -> new RunResult.Failed(verdict, refused.message(), false);
			case EngineFailure.Cause.NotReached missed -> new RunResult.Failed(verdict, missed.message(), false);
			case EngineFailure.Cause.Timeout timeout -> new RunResult.Failed(verdict, timeout.message(), false);
			case EngineFailure.Cause.Cancelled cancelled -> new RunResult.Failed(verdict, "cancelled", false);
		};
	}

	private static boolean isRefusal(EngineFailure.Cause.Rejected rejected) {
		return rejected.status() >= LOWEST_CLIENT_ERROR && rejected.status() < LOWEST_SERVER_ERROR;
	}

	/**
	 * Takes one answer as it is generated. Called by one thread.
	 */
	private final class Listener implements GenerationListener {

		private final RunId run;

		private final StringBuilder text;

		Listener(RunId run, String begun) {
			this.run = run;
			this.text = new StringBuilder(begun);
		}

		@Override
		public void started() {
			EngineRuns.this.reports.post(new SidecarEvent.RunStarted(this.run, EngineRuns.this.clock.get()));
		}

		@Override
		public void token(String part) {
			this.text.append(part);
			try {
				EngineRuns.this.reports
					.postWhenRoom(new SidecarEvent.RunProgressed(this.run, part, EngineRuns.this.clock.get()));
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IllegalStateException("interrupted while a part of an answer waited", ex);
			}
		}

		@Override
		public void finished(GenerationEnd end) {
			GenerationEnd.Usage tokens = end.usage();
			Usage usage = new Usage(Math.toIntExact(tokens.promptTokens()), Math.toIntExact(tokens.cachedTokens()),
					Math.toIntExact(tokens.completionTokens()));
			String message = message(this.text.toString(), end.toolCalls());
			end(this.run, new RunResult.Generated(message, end.finishReason(), usage));
		}

		@Override
		public void failed(EngineFailure failure) {
			end(this.run, result(failure));
		}

	}

}
