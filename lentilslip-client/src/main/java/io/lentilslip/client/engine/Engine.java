package io.lentilslip.client.engine;

import java.io.IOException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.lentilslip.client.http.Exchange;
import io.lentilslip.client.http.FailureKind;
import io.lentilslip.client.http.HttpLimits;
import io.lentilslip.client.http.HttpSender;
import io.lentilslip.client.http.TransmissionRecorder;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.verdict.Verdict;
import io.vavr.control.Either;
import okhttp3.Call;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;

/**
 * A model engine. Each call is one attempt and is never repeated. The stages complete,
 * and never exceptionally. Safe for use by several threads.
 */
public interface Engine extends AutoCloseable {

	/**
	 * Asks for an answer.
	 * @param request the request
	 * @param listener what is told of the answer, on a thread of its own
	 * @return the answer that is being generated
	 */
	Generation generate(EngineRequest request, GenerationListener listener);

	/**
	 * Asks for the rest of an answer that the engine still keeps, whether it is generated
	 * yet or not. Cancelling it ends the reading and not the request. A failure is never
	 * {@link Verdict#NOT_RUN}, since the request came to the engine before.
	 * @param requestId the name of the request
	 * @param fromToken the number of tokens that came already
	 * @param listener what is told of the rest
	 * @return the rest that is being read
	 */
	Generation resume(String requestId, int fromToken, GenerationListener listener);

	/**
	 * Cancels a request by its name.
	 * @param requestId the name of the request
	 * @return whether it had started; a failure if the engine does not know it
	 */
	CompletionStage<Either<EngineFailure, Boolean>> cancel(String requestId);

	/**
	 * Returns the load that the engine reports.
	 * @return the load, perhaps late
	 */
	CompletionStage<Either<EngineFailure, EngineLoad>> load();

	/**
	 * Returns cache events.
	 * @param from the lowest number of interest
	 * @return the events, perhaps late and with gaps
	 */
	CompletionStage<Either<EngineFailure, CacheEventPage>> cacheEvents(long from);

	/**
	 * Returns what the engine holds in memory.
	 * @return the pinned sessions and the tokens in use
	 */
	CompletionStage<Either<EngineFailure, HeldMemory>> held();

	/**
	 * Returns the engine's start. A new one has an empty memory.
	 * @return the incarnation
	 */
	CompletionStage<Either<EngineFailure, Incarnation>> instance();

	/**
	 * Ends a session's pin. Requests of the session that wait or run do not pin it again.
	 * @param session the session's name
	 * @return whether it was pinned
	 */
	CompletionStage<Either<EngineFailure, Boolean>> release(String session);

	/**
	 * Exports the KV cache of a pinned session, which stays pinned.
	 * @param session the session's name
	 * @return octets that an engine of the same model can import
	 */
	CompletionStage<Either<EngineFailure, byte[]>> exportSession(String session);

	/**
	 * Imports a KV cache and pins it.
	 * @param pin the session, and the lease by which a forgotten import ends
	 * @param octets what another engine exported
	 * @return the tokens imported
	 */
	CompletionStage<Either<EngineFailure, Long>> importSession(KvPin pin, byte[] octets);

	/**
	 * Gives an order.
	 * @param order the order
	 * @param fencing the fencing number of who gives it
	 * @return what came of it
	 */
	CompletionStage<EngineOrder.Outcome> order(EngineOrder order, long fencing);

	/**
	 * Ends all calls under way, each with what is known of it.
	 */
	@Override
	void close();

	/**
	 * An engine that is reached over HTTP. Generations under way are bounded; those past
	 * the bound fail as not reached. Safe for use by several threads.
	 */
	final class ForHttp implements Engine {

		private static final MediaType JSON = MediaType.get("application/json");

		private static final MediaType OCTETS = MediaType.get("application/octet-stream");

		private static final String REQUEST_ID = "X-Request-Id";

		private static final int LOWEST_SUCCESS = 200;

		private static final int LOWEST_REDIRECT = 300;

		private static final int CONFLICT = 409;

		private final HttpUrl address;

		private final HttpLimits limits;

		private final HttpSender sender;

		private final Semaphore freeGenerations;

		private volatile boolean closed;

		/**
		 * Creates a client.
		 * @param service where the engine listens
		 * @param limits the bounds of the calls; a generation has no bound in all, but
		 * may not be silent for longer than the read timeout
		 */
		public ForHttp(Endpoint service, HttpLimits limits) {
			this.address = HttpUrl.get("http://" + service);
			this.limits = limits;
			this.sender = new HttpSender(limits);
			this.freeGenerations = new Semaphore(limits.maximumCalls());
		}

		@Override
		public Generation generate(EngineRequest request, GenerationListener listener) {
			Request.Builder sent = request(url("v1/chat/completions")).header(REQUEST_ID, request.id());
			try {
				sent.post(RequestBody.create(EngineAnswers.body(request), JSON));
			}
			catch (JsonProcessingException ex) {
				throw new IllegalArgumentException("the further fields are not a JSON object", ex);
			}
			return stream(sent, Verdict.NOT_RUN, listener);
		}

		@Override
		public Generation resume(String requestId, int fromToken, GenerationListener listener) {
			HttpUrl url = ofRequest(requestId, "stream").addQueryParameter("from_token", Integer.toString(fromToken))
				.build();
			return stream(request(url), Verdict.MAY_HAVE_RUN, listener);
		}

		private Generation stream(Request.Builder request, Verdict earlier, GenerationListener listener) {
			TransmissionRecorder recorder = TransmissionRecorder.attachTo(request);
			Call call = this.sender.client().newCall(request.build());
			call.timeout().timeout(0, TimeUnit.NANOSECONDS);
			StreamedGeneration generation = new StreamedGeneration(call, recorder, earlier,
					this.limits.maximumAnswerBytes(), listener);
			if (this.closed || !this.freeGenerations.tryAcquire()) {
				start(() -> listener.failed(notTaken(earlier)));
				return call::cancel;
			}
			start(() -> {
				try {
					generation.run();
				}
				finally {
					this.freeGenerations.release();
				}
			});
			return generation;
		}

		private static void start(Runnable task) {
			Thread.ofVirtual().name("engine-generation").start(task);
		}

		private static EngineFailure notTaken(Verdict earlier) {
			return new EngineFailure(earlier,
					new EngineFailure.Cause.NotReached("too many generations under way, or closed"));
		}

		@Override
		public CompletionStage<Either<EngineFailure, Boolean>> cancel(String requestId) {
			Request.Builder request = request(ofRequest(requestId, "cancel").build()).post(RequestBody.EMPTY);
			return send(request, (document) -> document.path("started").asBoolean());
		}

		@Override
		public CompletionStage<Either<EngineFailure, EngineLoad>> load() {
			return send(request(url("v1/load")), EngineAnswers::load);
		}

		@Override
		public CompletionStage<Either<EngineFailure, CacheEventPage>> cacheEvents(long from) {
			HttpUrl url = url("v1/cache/events").newBuilder().addQueryParameter("from", Long.toString(from)).build();
			return send(request(url), EngineAnswers::cacheEvents);
		}

		@Override
		public CompletionStage<Either<EngineFailure, HeldMemory>> held() {
			return send(request(url("v1/kv")), EngineAnswers::held);
		}

		@Override
		public CompletionStage<Either<EngineFailure, Incarnation>> instance() {
			return send(request(url("v1/instance")), EngineAnswers::instance);
		}

		@Override
		public CompletionStage<Either<EngineFailure, Boolean>> release(String session) {
			Request.Builder request = request(url("v1/kv/release")).post(named(session));
			return send(request, (document) -> document.path("released").asBoolean());
		}

		@Override
		public CompletionStage<Either<EngineFailure, byte[]>> exportSession(String session) {
			Request.Builder request = request(url("v1/kv/export")).post(named(session));
			return this.sender.send(request).thenApply((exchange) -> answer(exchange).map(Exchange.Answered::body));
		}

		@Override
		public CompletionStage<Either<EngineFailure, Long>> importSession(KvPin pin, byte[] octets) {
			HttpUrl.Builder url = url("v1/kv/import").newBuilder().addQueryParameter("session", pin.session());
			pin.lease().ifPresent((lease) -> url.addQueryParameter("lease_ms", Long.toString(lease.toMillis())));
			Request.Builder request = request(url.build()).post(RequestBody.create(octets, OCTETS));
			return send(request, (document) -> EngineAnswers.number(document, "tokens"));
		}

		@Override
		public CompletionStage<EngineOrder.Outcome> order(EngineOrder order, long fencing) {
			RequestBody body = RequestBody.create(EngineAnswers.body(order, fencing), JSON);
			return this.sender.send(request(url("v1/orders")).post(body)).thenApply(ForHttp::outcome);
		}

		private static EngineOrder.Outcome outcome(Exchange exchange) {
			if (exchange instanceof Exchange.Answered answered && answered.status() == CONFLICT) {
				return parse(answered,
						(document) -> EngineAnswers.number(document, "highest_fencing")).<EngineOrder.Outcome>fold(
								EngineOrder.Outcome.Failed::new, EngineOrder.Outcome.OldFencing::new);
			}
			return answer(exchange).fold(EngineOrder.Outcome.Failed::new,
					(answered) -> new EngineOrder.Outcome.Applied());
		}

		private <T> CompletionStage<Either<EngineFailure, T>> send(Request.Builder request,
				Function<JsonNode, T> reader) {
			return this.sender.send(request)
				.thenApply((exchange) -> answer(exchange).flatMap((answered) -> parse(answered, reader)));
		}

		private static Either<EngineFailure, Exchange.Answered> answer(Exchange exchange) {
			return switch (exchange) {
				case Exchange.Answered answered when isSuccess(answered) -> Either.right(answered);
				case Exchange.Answered answered ->
					Either.left(EngineAnswers.rejection(answered.status(), answered.body()));
				case Exchange.Unanswered unanswered -> Either.left(failure(unanswered));
			};
		}

		private static boolean isSuccess(Exchange.Answered answered) {
			return answered.status() >= LOWEST_SUCCESS && answered.status() < LOWEST_REDIRECT;
		}

		private static EngineFailure failure(Exchange.Unanswered unanswered) {
			EngineFailure.Cause cause = switch (unanswered.transmission()) {
				case NEVER_SENT -> new EngineFailure.Cause.NotReached(unanswered.reason());
				case MAY_HAVE_BEEN_SENT ->
					(unanswered.kind() == FailureKind.TIMED_OUT) ? new EngineFailure.Cause.Timeout(unanswered.reason())
							: new EngineFailure.Cause.Broken(unanswered.reason());
			};
			return new EngineFailure(unanswered.transmission().verdict(), cause);
		}

		private static <T> Either<EngineFailure, T> parse(Exchange.Answered answered, Function<JsonNode, T> reader) {
			try {
				return Either.right(reader.apply(EngineAnswers.JSON.readTree(answered.body())));
			}
			catch (IOException | IllegalArgumentException | ArithmeticException ex) {
				String message = "the engine's answer cannot be read: " + ex.getMessage();
				return Either.left(new EngineFailure(Verdict.RAN, new EngineFailure.Cause.Broken(message)));
			}
		}

		private static RequestBody named(String session) {
			return RequestBody.create(EngineAnswers.JSON.createObjectNode().put("session", session).toString(), JSON);
		}

		private static Request.Builder request(HttpUrl url) {
			return new Request.Builder().url(url);
		}

		private HttpUrl url(String path) {
			return this.address.newBuilder().addPathSegments(path).build();
		}

		private HttpUrl.Builder ofRequest(String id, String action) {
			return url("v1/requests").newBuilder().addPathSegment(id).addPathSegment(action);
		}

		@Override
		public void close() {
			this.closed = true;
			this.sender.close();
		}

	}

}
