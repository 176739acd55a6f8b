package io.lentilslip.client.engine;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.lentilslip.client.Endpoints;
import io.lentilslip.client.http.HttpLimits;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.verdict.Verdict;
import io.lentilslip.standin.engine.EngineLimits;
import io.lentilslip.standin.engine.EngineSettings;
import io.lentilslip.standin.engine.EngineStandIn;
import io.lentilslip.standin.engine.EngineTiming;
import io.lentilslip.standin.engine.FencingPolicy;
import io.lentilslip.standin.http.MalformedResponse;
import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

// Only a bound for a run that would otherwise never end; no test depends on its length.
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EngineTests {

	private static final ModelName MODEL = new ModelName("danube-8b");

	private static final EngineSettings SETTINGS = EngineSettings.serving(MODEL.value());

	/**
	 * So slow that an answer of many tokens does not end within a test.
	 */
	private static final EngineSettings SLOW = SETTINGS.withTiming(new EngineTiming(1_000_000, 5_000_000, 0, 1_000, 1));

	private static final String LONG = "Tell me all [[tokens:50000]]";

	private static final HttpLimits LIMITS = HttpLimits.defaults()
		.withTimeouts(Duration.ofSeconds(30), Duration.ofSeconds(30));

	private EngineStandIn standIn;

	private Engine engine;

	@AfterEach
	void close() {
		if (this.engine != null) {
			this.engine.close();
		}
		if (this.standIn != null) {
			this.standIn.close();
		}
	}

	private void start(EngineSettings settings) {
		this.standIn = EngineStandIn.start(settings);
		this.engine = new Engine.ForHttp(Endpoints.of(this.standIn.address()), LIMITS);
	}

	@Test
	void deliversAnAnswerTokenByToken() {
		start(SETTINGS);
		RecordingListener listener = generate(request("a", "Which boats? [[tokens:40]]"));
		GenerationEnd end = listener.awaitFinished();
		assertThat(listener.tokens()).isEqualTo(40);
		assertThat(end.finishReason()).isEqualTo("stop");
		assertThat(end.usage().completionTokens()).isEqualTo(40);
		assertThat(end.toolCalls()).isEmpty();
		assertThat(this.standIn.runs("a")).isOne();
		assertThat(this.standIn.generatedTokens()).isEqualTo(40);
	}

	@Test
	void secondRequestFindsThePromptInMemory() {
		start(SETTINGS);
		String prompt = "word ".repeat(100);
		generate(request("a", prompt)).awaitFinished();
		long prefilled = this.standIn.prefilledTokens();
		GenerationEnd second = generate(request("b", prompt)).awaitFinished();
		assertThat(second.usage().cachedTokens()).isEqualTo(96);
		assertThat(this.standIn.prefilledTokens() - prefilled).isEqualTo(second.usage().promptTokens() - 96);
	}

	@Test
	void deliversToolCallsWhole() {
		start(SETTINGS);
		GenerationEnd end = generate(request("a", "[[tool:price {\\\"berth\\\":7}]]")).awaitFinished();
		assertThat(end.finishReason()).isEqualTo("tool_calls");
		assertThat(end.toolCalls().orElseThrow()).contains("\"name\":\"price\"")
			.contains("\"arguments\":\"{\\\"berth\\\":7}\"")
			.doesNotContain("index");
	}

	/**
	 * An engine dies in the middle of an answer. What came so far is sent to another
	 * engine as the beginning of the answer; the caller sees the text without a gap and
	 * without a token twice, as if nothing had happened.
	 */
	@Test
	void answerBrokenOffGoesOnElsewhereWithExactlyTheSameText() {
		String question = "Describe the sloop [[tokens:200]]";
		start(SLOW);
		RecordingListener broken = generate(request("a", question)).awaitFirstToken();
		this.standIn.crash();
		EngineFailure failure = broken.awaitFailed();
		close();
		start(SETTINGS);
		RecordingListener whole = generate(request("whole", question));
		whole.awaitFinished();
		RecordingListener rest = generate(EngineRequest
			.of("rest", MODEL,
					messages("{\"role\":\"user\",\"content\":\"" + question + "\"}",
							"{\"role\":\"assistant\",\"content\":\"" + broken.text() + "\"}"))
			.continuingFinalMessage());
		rest.awaitFinished();
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(broken.text() + rest.text()).isEqualTo(whole.text());
		assertThat(rest.tokens()).isEqualTo(200 - broken.tokens());
	}

	/**
	 * A caller's connection is lost in the middle of a request that is to go on then.
	 * Reading on from the last token that came gives the rest: the caller has the whole
	 * text, and the request ran once.
	 */
	@Test
	void answerThatGoesOnWithoutItsCallerIsResumedFromAToken() {
		start(SLOW);
		RecordingListener first = new RecordingListener();
		EngineRequest request = request("a", "Go [[tokens:60]]").withFurtherFields("{\"on_disconnect\":\"continue\"}");
		Generation generation = this.engine.generate(request, first);
		first.awaitFirstToken();
		generation.cancel();
		first.awaitFailed();
		RecordingListener rest = new RecordingListener();
		this.engine.resume("a", first.tokens(), rest);
		rest.awaitFinished();
		RecordingListener whole = new RecordingListener();
		this.engine.resume("a", 0, whole);
		whole.awaitFinished();
		assertThat(whole.tokens()).isEqualTo(60);
		assertThat(first.text() + rest.text()).isEqualTo(whole.text());
		assertThat(this.standIn.runs("a")).isOne();
	}

	@Test
	void resumingWhatIsNotKeptDoesNotMeanThatItNeverRan() {
		start(SETTINGS);
		RecordingListener listener = new RecordingListener();
		this.engine.resume("unknown", 0, listener);
		assertThat(listener.awaitFailed().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	/**
	 * A caller gives an answer up in the middle. It gets no more text, and one failure;
	 * the engine stops, so that the memory of the request is free again.
	 */
	@Test
	void cancelledAnswerDeliversNothingMoreAndFreesTheEngine() {
		start(SLOW);
		RecordingListener listener = new RecordingListener();
		Generation generation = this.engine.generate(request("a", LONG), listener);
		listener.awaitFirstToken();
		generation.cancel();
		int delivered = listener.tokens();
		EngineFailure failure = listener.awaitFailed();
		awaitIdle();
		generation.cancel();
		assertThat(failure).isEqualTo(new EngineFailure(Verdict.MAY_HAVE_RUN, new EngineFailure.Cause.Cancelled()));
		assertThat(listener.tokens()).isEqualTo(delivered);
		assertThat(listener.ends()).isOne();
		assertThat(this.standIn.heldTokens()).isZero();
	}

	/**
	 * A request waits in the engine's queue behind another and is cancelled by its name.
	 * The engine says that it had not started, and its caller learns that it did not run.
	 */
	@Test
	void requestCancelledInTheQueueDidNotRun() {
		start(SLOW.withLimits(EngineLimits.small().withBatch(1)));
		generate(request("first", LONG)).awaitStart();
		RecordingListener second = generate(request("second", LONG));
		awaitLoad((load) -> load.waiting() == 1);
		assertThat(value(this.engine.cancel("second"))).isFalse();
		assertThat(second.awaitFailed().verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.standIn.runs("second")).isZero();
	}

	/**
	 * A request crashes the engine. Its caller and everyone else on the engine see their
	 * connections reset; the engine comes back on its port as another instance, without
	 * any of its memory.
	 */
	@Test
	void requestThatCrashesTheEngineMayHaveRunAndTheEngineComesBackEmpty() {
		start(SLOW.withCrashes(Duration.ofMillis(1)));
		Incarnation before = value(this.engine.instance());
		RecordingListener innocent = generate(request("innocent", LONG)).awaitFirstToken();
		RecordingListener guilty = generate(request("guilty", "[[crash]]"));
		assertThat(guilty.awaitFailed().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(innocent.awaitFailed().cause()).isInstanceOf(EngineFailure.Cause.Broken.class);
		Incarnation after = awaitInstance();
		assertThat(after).isNotEqualTo(before);
		assertThat(value(this.engine.held()).cachedTokens()).isZero();
		assertThat(this.standIn.runs("guilty")).isOne();
	}

	@Test
	void nobodyAtTheAddressMeansNotRun() {
		start(SETTINGS);
		this.standIn.crash();
		EngineFailure failure = generate(request("a", "x")).awaitFailed();
		assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(failure.cause()).isInstanceOf(EngineFailure.Cause.Refused.class);
		this.standIn.restart();
		assertThat(generate(request("a", "x")).awaitFinished().finishReason()).isEqualTo("stop");
	}

	@Test
	void refusalThatSaysSoMeansNotRun() {
		start(SETTINGS);
		EngineFailure failure = generate(
				EngineRequest.of("a", new ModelName("unknown"), messages("{\"role\":\"user\"}")))
			.awaitFailed();
		assertThat(failure).isEqualTo(new EngineFailure(Verdict.NOT_RUN,
				new EngineFailure.Cause.Rejected(404, "model unknown is not loaded")));
	}

	/**
	 * Something on the way answers in the engine's place. Only a refusal in the engine's
	 * own form, with a status that can mean it, shows that nothing ran.
	 * @param status the HTTP status
	 * @param said the verdict in the body
	 * @param verdict what the caller may conclude
	 */
	@ParameterizedTest
	@CsvSource({ "400, not_run, NOT_RUN", "429, not_run, NOT_RUN", "503, not_run, NOT_RUN", "503, '', MAY_HAVE_RUN",
			"404, '', MAY_HAVE_RUN", "500, not_run, MAY_HAVE_RUN", "502, not_run, MAY_HAVE_RUN",
			"429, may_have_run, MAY_HAVE_RUN" })
	void verdictOfARefusal(int status, String said, Verdict verdict) {
		byte[] body = ("{\"error\":{\"message\":\"no\",\"verdict\":\"" + said + "\"}}")
			.getBytes(StandardCharsets.UTF_8);
		assertThat(EngineAnswers.rejection(status, body))
			.isEqualTo(new EngineFailure(verdict, new EngineFailure.Cause.Rejected(status, "no")));
	}

	/**
	 * The other side accepts the connection, sends this much of an answer and closes, or
	 * says nothing at all. The request was sent, so it may have run.
	 * @param answer what the other side sends
	 * @throws IOException if the test's own server fails
	 */
	@ParameterizedTest
	@CsvSource({ "''", "HTTP/1.1 2", "'data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}'", "'data: {nonsense'",
			"'data: [DONE]'", "'data: {\"error\":{\"message\":\"lost\"}}'" })
	void answerThatBreaksOffMeansMayHaveRun(String answer) throws IOException {
		String head = answer.startsWith("data") ? "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" : "";
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			RecordingListener listener = generateAt(server, LIMITS);
			try (Socket socket = server.accept(); OutputStream output = socket.getOutputStream()) {
				socket.getInputStream().read();
				output.write((head + answer + (head.isEmpty() ? "" : "\n\n")).getBytes(StandardCharsets.UTF_8));
			}
			EngineFailure failure = listener.awaitFailed();
			assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
			assertThat(failure.cause()).isInstanceOf(EngineFailure.Cause.Broken.class);
			assertThat(listener.ends()).isOne();
		}
	}

	// Guards against a rejection made of a status that is none.
	@ParameterizedTest
	@EnumSource(names = { "STATUS_000", "STATUS_099", "STATUS_600" })
	void answerWithAnInvalidStatusMeansMayHaveRun(MalformedResponse answer) throws IOException {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			RecordingListener listener = generateAt(server, LIMITS);
			try (Socket socket = server.accept()) {
				assertThat(socket.getInputStream().read(new byte[4096])).isPositive();
				socket.getOutputStream().write(answer.bytes(""));
			}
			EngineFailure failure = listener.awaitFailed();
			assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
			assertThat(failure.cause()).isInstanceOf(EngineFailure.Cause.Broken.class);
			assertThat(listener.ends()).isOne();
		}
	}

	@Test
	void silenceAfterSendingMeansMayHaveRun() throws IOException {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			EngineFailure failure = generateAt(server,
					HttpLimits.defaults().withTimeouts(Duration.ofMillis(50), Duration.ZERO))
				.awaitFailed();
			assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
			assertThat(failure.cause()).isInstanceOf(EngineFailure.Cause.Timeout.class);
		}
	}

	@Test
	void generationsPastTheBoundAreNotSent() {
		this.standIn = EngineStandIn.start(SLOW);
		this.engine = new Engine.ForHttp(Endpoints.of(this.standIn.address()), LIMITS.withMaximumCalls(1));
		generate(request("a", LONG)).awaitStart();
		assertThat(generate(request("b", LONG)).awaitFailed().verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.standIn.runs("b")).isZero();
	}

	/**
	 * A program's session is pinned, exported and pinned in another engine. Each pin is
	 * seen with its owner, and after the releases neither engine holds any memory.
	 */
	@Test
	void sessionMovesToAnotherEngineAndIsReleasedInBoth() {
		start(SETTINGS);
		KvPin pin = KvPin.leased("program-1", Duration.ofHours(1));
		String prompt = "word ".repeat(100);
		generate(request("a", prompt).withPin(pin)).awaitFinished();
		byte[] exported = value(this.engine.exportSession("program-1"));
		try (EngineStandIn otherStandIn = EngineStandIn.start(SETTINGS);
				Engine other = new Engine.ForHttp(Endpoints.of(otherStandIn.address()), LIMITS)) {
			long tokens = value(other.importSession(pin, exported));
			assertThat(value(other.held()).sessions()).singleElement()
				.satisfies((held) -> assertThat(held.tokens()).isEqualTo(tokens));
			RecordingListener listener = new RecordingListener();
			other.generate(request("b", prompt), listener);
			assertThat(listener.awaitFinished().usage().cachedTokens()).isEqualTo(96);
			assertThat(value(other.release("program-1"))).isTrue();
			assertThat(otherStandIn.heldTokens()).isZero();
		}
		assertThat(this.standIn.heldTokens()).isPositive();
		assertThat(value(this.engine.release("program-1"))).isTrue();
		assertThat(value(this.engine.release("program-1"))).isFalse();
		assertThat(this.standIn.heldTokens()).isZero();
	}

	/**
	 * The owner of a pin dies and nobody releases it. The lease ends, and the memory is
	 * free without any further request to the engine.
	 */
	@Test
	void pinEndsWithItsLease() {
		start(SETTINGS);
		generate(request("a", "word ".repeat(50)).withPin(KvPin.leased("gone", Duration.ofMillis(5)))).awaitFinished();
		while (this.standIn.heldTokens() > 0) {
			Thread.onSpinWait();
		}
		assertThat(value(this.engine.held()).sessions()).isEmpty();
	}

	/**
	 * The order of a new holder comes first, that of the old one after it. An engine that
	 * checks fencing numbers refuses the old order; another one carries it out.
	 * @param policy what the engine does with fencing numbers
	 * @param loaded whether the old order's model is loaded in the end
	 */
	@ParameterizedTest
	@CsvSource({ "CHECKED, false", "IGNORED, true" })
	void oldOrderIsRefusedOnlyWhereNumbersAreChecked(FencingPolicy policy, boolean loaded) {
		start(SETTINGS.withFencing(policy));
		ModelName other = new ModelName("other");
		assertThat(outcome(new EngineOrder.Role("prefill"), 7)).isEqualTo(new EngineOrder.Outcome.Applied());
		assertThat(outcome(new EngineOrder.Load(other, "2"), 6))
			.isEqualTo(loaded ? new EngineOrder.Outcome.Applied() : new EngineOrder.Outcome.OldFencing(7));
		RecordingListener listener = generate(EngineRequest.of("a", other, messages("{\"role\":\"user\"}")));
		if (loaded) {
			listener.awaitFinished();
		}
		else {
			listener.awaitFailed();
		}
	}

	@Test
	void readsCacheEvents() {
		start(SETTINGS);
		generate(request("a", "word ".repeat(40)).withMaximumTokens(1)).awaitFinished();
		CacheEventPage page = value(this.engine.cacheEvents(1));
		assertThat(page.incarnation()).isEqualTo(value(this.engine.instance()));
		assertThat(page.events()).hasSize(2)
			.first()
			.isInstanceOfSatisfying(CacheEventPage.CacheEvent.Stored.class, (stored) -> {
				assertThat(stored.parent()).isZero();
				assertThat(stored.sequence()).isOne();
			});
		assertThat(value(this.engine.cacheEvents(page.next())).events()).isEmpty();
	}

	@Test
	void passesFurtherFieldsOnAsTheCallerWroteThem() throws IOException {
		EngineRequest request = request("a", "x")
			.withFurtherFields("{\"temperature\":0.10,\"seed\":123456789012345678901}");
		assertThat(EngineAnswers.body(request)).contains("\"temperature\":0.10")
			.contains("\"seed\":123456789012345678901")
			.contains("\"messages\":" + request.messages());
	}

	private RecordingListener generate(EngineRequest request) {
		RecordingListener listener = new RecordingListener();
		this.engine.generate(request, listener);
		return listener;
	}

	private RecordingListener generateAt(ServerSocket server, HttpLimits limits) {
		this.engine = new Engine.ForHttp(Endpoints.of((InetSocketAddress) server.getLocalSocketAddress()), limits);
		return generate(request("a", "x"));
	}

	private void awaitIdle() {
		awaitLoad((load) -> load.running() == 0 && load.waiting() == 0);
	}

	private void awaitLoad(Predicate<EngineLoad> expected) {
		while (!expected.test(value(this.engine.load()))) {
			Thread.onSpinWait();
		}
	}

	private Incarnation awaitInstance() {
		while (true) {
			Either<EngineFailure, Incarnation> answer = get(this.engine.instance());
			if (answer.isRight()) {
				return answer.get();
			}
		}
	}

	private EngineOrder.Outcome outcome(EngineOrder order, long fencing) {
		return get(this.engine.order(order, fencing));
	}

	private static EngineRequest request(String id, String content) {
		return EngineRequest.of(id, MODEL, messages("{\"role\":\"user\",\"content\":\"" + content + "\"}"));
	}

	private static String messages(String... messages) {
		return "[" + String.join(",", List.of(messages)) + "]";
	}

	private static <T> T value(CompletionStage<Either<EngineFailure, T>> stage) {
		return get(stage).getOrElseThrow((failure) -> new AssertionError(failure.toString()));
	}

	private static <T> T get(CompletionStage<T> stage) {
		return stage.toCompletableFuture().orTimeout(30, TimeUnit.SECONDS).join();
	}

}
