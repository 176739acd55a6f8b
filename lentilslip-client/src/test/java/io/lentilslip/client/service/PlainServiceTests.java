package io.lentilslip.client.service;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.lentilslip.client.Endpoints;
import io.lentilslip.client.http.HttpLimits;
import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Header;
import io.lentilslip.core.call.ServiceRequest;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.verdict.Verdict;
import io.lentilslip.standin.http.Availability;
import io.lentilslip.standin.http.StandInServer;
import io.lentilslip.standin.tool.ToolBehaviour;
import io.lentilslip.standin.tool.ToolServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class PlainServiceTests {

	private static final Duration LONG = Duration.ofSeconds(30);

	private static final String CHECK_IN = "check-in";

	private final ToolServiceStandIn tool = ToolServiceStandIn.start();

	private final PlainService service = new PlainService.ForHttp(HttpLimits.defaults());

	@AfterEach
	void stop() {
		this.service.close();
		this.tool.close();
	}

	@Test
	void aWholeAnswerRan() {
		ServiceOutcome outcome = checkIn();
		assertThat(outcome.verdict()).isEqualTo(Verdict.RAN);
		assertThat(answer(outcome).body().toText()).contains("\"run\":1");
		assertThat(runs()).isOne();
	}

	@Test
	void anErrorOfTheServiceRan() {
		this.tool.always(new ToolBehaviour.Fail(500));
		ServiceOutcome outcome = checkIn();
		assertThat(outcome.verdict()).isEqualTo(Verdict.RAN);
		assertThat(answer(outcome).status()).isEqualTo(500);
	}

	@Test
	void aRefusedConnectDidNotRun() {
		this.tool.close();
		ServiceOutcome outcome = checkIn();
		assertThat(outcome).isInstanceOf(ServiceOutcome.NotSent.class);
		assertThat(outcome.verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	// The service runs the check-in and crashes before it answers. The caller
	// gets "may have run", and nothing on the way sends it a second time.
	@Test
	void anAnswerLostAfterTheRunMayHaveRunAndIsNotRepeated() {
		this.tool.next(new ToolBehaviour.DropAfterRun(), 1);
		assertLost(checkIn(), true);
		assertThat(runs()).isOne();
	}

	// The connection is reset before the service acts. Nobody outside can tell
	// this from a reset after the run, so the verdict is the same.
	@Test
	void aResetBeforeTheRunMayHaveRun() {
		this.tool.next(new ToolBehaviour.DropBeforeRun(), 1);
		assertLost(checkIn(), true);
		assertThat(runs()).isZero();
	}

	@Test
	void anAnswerCutOffMayHaveRunAndIsNotRepeated() {
		this.tool.next(new ToolBehaviour.CutAnswer(), 1);
		assertLost(checkIn(), true);
		assertThat(runs()).isOne();
	}

	// The service dies between two calls. Sent on the connection of the first,
	// the second call would look as if it may have run, and a call that may not
	// be repeated would be lost for nothing.
	@Test
	void aServiceThatDiedBetweenCallsDidNotRun() {
		checkIn();
		this.tool.close();
		assertThat(checkIn().verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	// A call succeeds and the next one is reset. A library that takes this for
	// a stale connection sends the second call again on a new one.
	@Test
	void aResetAfterACallThatRanIsNotRepeated() {
		checkIn();
		this.tool.next(new ToolBehaviour.DropAfterRun(), 1);
		assertLost(checkIn(), true);
		assertThat(runs()).isEqualTo(2);
	}

	// The upstream resets the connection while the body is still being sent. It
	// has seen the request's beginning, so this is no proof that it did nothing.
	@Test
	void aResetInTheMiddleOfTheRequestMayHaveRun() throws IOException {
		try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			CompletableFuture<Void> reset = CompletableFuture.runAsync(() -> resetAfterFirstByte(listener));
			Body large = Body.of(new byte[32 * 1024 * 1024]);
			Endpoint endpoint = Endpoints.of((InetSocketAddress) listener.getLocalSocketAddress());
			assertLost(call(endpoint, new ServiceRequest("POST", "/upload", List.of(), large), LONG), true);
			reset.join();
		}
	}

	// The tool hangs until the call's time is over. It is not a crash, and the
	// late answer must not turn up as the answer to the next call.
	@Test
	void aHangingToolMayHaveRunAndItsLateAnswerReachesNobody() {
		checkIn();
		this.tool.next(new ToolBehaviour.Hang(), 1);
		PendingCall hanging = this.service.call(upstream(), message("hanging"), Duration.ofSeconds(1));
		assertLost(hanging.outcome().toCompletableFuture().join(), false);
		this.tool.releaseHanging();
		assertThat(answer(checkIn()).body().toText()).contains(CHECK_IN);
	}

	// The caller gives a call up that the tool has begun. The outcome still
	// comes, and does not claim that the tool did nothing.
	@Test
	void aCancelledCallMayHaveRun() {
		this.tool.next(new ToolBehaviour.Hang(), 1);
		PendingCall pending = this.service.call(upstream(), message(CHECK_IN), LONG);
		while (this.tool.hanging() == 0) {
			Thread.onSpinWait();
		}
		pending.cancel();
		assertLost(pending.outcome().toCompletableFuture().join(), false);
	}

	@Test
	void aServiceThatIsDownAnswers() {
		this.tool.setAvailability(new Availability.Refusing());
		assertThat(answer(checkIn()).status()).isEqualTo(503);
		assertThat(runs()).isZero();
	}

	// Operators allow one path to be repeated. Another spelling of a path, once
	// resolved on the way, would reach a call that must not be.
	@ParameterizedTest
	@ValueSource(strings = { "@127.0.0.2/", "price", "/price/../check-in", "/price/%2e%2e/check-in", "/a b", "/a#b",
			"/a\\b", "" })
	void aPathThatWouldBeChangedIsRefused(String path) {
		assertInvalid(new ServiceRequest("POST", path, List.of(), Body.EMPTY));
	}

	@Test
	void whatHttpCannotCarryIsRefused() {
		assertInvalid(new ServiceRequest("POST /other HTTP/1.1\r\n", "/a", List.of(), Body.EMPTY));
		assertInvalid(new ServiceRequest("GET", "/a", List.of(), Body.of("body")));
		assertInvalid(new ServiceRequest("POST", "/a", List.of(new Header("A", "b\r\nC: d")), Body.EMPTY));
	}

	// The caller's own connection headers come along, with a false length among
	// them. Passed on, the upstream would read one request as two.
	@Test
	void headersOfTheConnectionAreNotPassedOn() {
		CompletableFuture<String> seen = new CompletableFuture<>();
		try (StandInServer server = StandInServer.start(StandInServer.ANY_PORT,
				(application, running) -> application.post("/a", (context) -> {
					seen.complete(context.header("Content-Length").value("") + context.header("X-Hop").value("-")
							+ context.header("X-Kept").value("") + context.query("q").value());
					return context.setResponseHeader("X-Answer", "yes").send("whole");
				}))) {
			List<Header> headers = List.of(new Header("Content-Length", "1"), new Header("Connection", "X-Hop, close"),
					new Header("X-Hop", "no"), new Header("X-Kept", "kept"));
			ServiceRequest message = new ServiceRequest("POST", "/a?q=%20b", headers, Body.of("12345"));
			ServiceOutcome outcome = call(Endpoints.of(server.address()), message, LONG);
			assertThat(seen.join()).isEqualTo("5-kept b");
			assertThat(answer(outcome).headers()).contains(new Header("X-Answer", "yes"))
				.noneMatch((header) -> header.name().equalsIgnoreCase("Content-Length"));
		}
	}

	private static void resetAfterFirstByte(ServerSocket listener) {
		try (Socket socket = listener.accept(); InputStream input = socket.getInputStream()) {
			assertThat(input.read()).isNotNegative();
			socket.setSoLinger(true, 0);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void assertLost(ServiceOutcome outcome, boolean brokenOff) {
		assertThat(outcome).isInstanceOfSatisfying(ServiceOutcome.Lost.class,
				(lost) -> assertThat(lost.brokenOff()).isEqualTo(brokenOff));
		assertThat(outcome.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	private void assertInvalid(ServiceRequest message) {
		ServiceOutcome outcome = call(upstream(), message, LONG);
		assertThat(outcome).isInstanceOf(ServiceOutcome.Invalid.class);
		assertThat(outcome.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.tool.runs()).isEmpty();
	}

	private ServiceOutcome checkIn() {
		return call(upstream(), message(CHECK_IN), LONG);
	}

	private ServiceOutcome call(Endpoint endpoint, ServiceRequest message, Duration timeout) {
		return this.service.call(endpoint, message, timeout).outcome().toCompletableFuture().join();
	}

	private Endpoint upstream() {
		return Endpoints.of(this.tool.address());
	}

	private int runs() {
		return this.tool.runs().getOrDefault(CHECK_IN, 0);
	}

	private static ServiceRequest message(String name) {
		return new ServiceRequest("POST", "/walks/7/check-in", List.of(new Header("Idempotency-Key", name)),
				Body.of("{}"));
	}

	private static CallResponse.FromService answer(ServiceOutcome outcome) {
		return ((ServiceOutcome.Answered) outcome).answer();
	}

}
