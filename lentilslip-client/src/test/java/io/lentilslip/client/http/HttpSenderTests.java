package io.lentilslip.client.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.jooby.Context;
import io.jooby.StatusCode;
import io.lentilslip.core.verdict.Verdict;
import io.lentilslip.standin.http.MalformedResponse;
import io.lentilslip.standin.http.StandInServer;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class HttpSenderTests {

	private static final Duration LONG = Duration.ofSeconds(20);

	private final AtomicInteger arrived = new AtomicInteger();

	private final CompletableFuture<Context> held = new CompletableFuture<>();

	private final StandInServer server = StandInServer.start(StandInServer.ANY_PORT, (application, running) -> {
		application.get("/whole", (context) -> "text");
		application.post("/unavailable", (context) -> {
			this.arrived.incrementAndGet();
			context.setResponseHeader("Retry-After", "0");
			return context.send(StatusCode.SERVICE_UNAVAILABLE);
		});
		application.get("/elsewhere", (context) -> context.sendRedirect("/whole"));
		application.post("/reset", (context) -> {
			this.arrived.incrementAndGet();
			running.reset(context);
			return context;
		});
		application.get("/held", (context) -> {
			this.held.complete(context);
			return context;
		});
		application.get("/cut", (context) -> {
			running.cutOff(context, new byte[10], 100);
			return context;
		});
	});

	private final HttpSender sender = new HttpSender(HttpLimits.defaults().withTimeouts(LONG, LONG));

	@AfterEach
	void stop() {
		this.sender.close();
		this.server.close();
	}

	@Test
	void bringsTheWholeAnswer() {
		Exchange exchange = get(this.sender, "/whole");
		assertThat(exchange).isInstanceOfSatisfying(Exchange.Answered.class, (answer) -> {
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.text()).isEqualTo("text");
		});
	}

	// Nothing listens on the port any more, so the connect is refused. No byte
	// of the request has left, and the caller may be told that it did not run.
	@Test
	void aRefusedConnectWasNeverSent() {
		this.server.close();
		assertUnanswered(get(this.sender, "/whole"), Transmission.NEVER_SENT, Verdict.NOT_RUN);
	}

	// The server takes the request and resets the connection without an
	// answer. A library that tries again by itself would run it twice.
	@Test
	void aResetMayHaveBeenSentAndIsNotSentAgain() {
		assertUnanswered(post("/reset"), Transmission.MAY_HAVE_BEEN_SENT, Verdict.MAY_HAVE_RUN);
		assertThat(this.arrived).hasValue(1);
	}

	// A second call to the same server is reset. A library that keeps
	// connections takes this for a stale one and sends the call again.
	@Test
	void aResetOnAReusedConnectionIsNotSentAgain() {
		assertThat(get(this.sender, "/whole")).isInstanceOf(Exchange.Answered.class);
		assertUnanswered(post("/reset"), Transmission.MAY_HAVE_BEEN_SENT, Verdict.MAY_HAVE_RUN);
		assertThat(this.arrived).hasValue(1);
	}

	// An answer 503 asks to come back after 0 seconds, which the library does
	// at once by itself. The server must see one request, the caller the 503.
	@Test
	void anImmediateRetryIsNotTakenUp() {
		assertThat(post("/unavailable")).isInstanceOfSatisfying(Exchange.Answered.class,
				(answer) -> assertThat(answer.status()).isEqualTo(503));
		assertThat(this.arrived).hasValue(1);
	}

	@Test
	void aRedirectIsNotFollowed() {
		assertThat(get(this.sender, "/elsewhere")).isInstanceOfSatisfying(Exchange.Answered.class,
				(answer) -> assertThat(answer.status()).isEqualTo(302));
	}

	// The connection is reset after ten of a hundred bytes of the answer. The
	// status has been seen, but the caller must not get a part for the whole.
	@Test
	void anAnswerCutOffMayHaveBeenSent() {
		Exchange exchange = get(this.sender, "/cut");
		assertUnanswered(exchange, Transmission.MAY_HAVE_BEEN_SENT, Verdict.MAY_HAVE_RUN);
		assertThat(((Exchange.Unanswered) exchange).reason()).startsWith("answer cut off");
	}

	// Guards against a second response to one request that is taken for the response to
	// the next one.
	@Test
	void responseReadTogetherWithTheFirstIsNotMatchedToTheNextRequest() throws Exception {
		String response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
		try (ServerSocket upstream = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
			Thread.startVirtualThread(() -> {
				respondOnce(upstream, response + "first" + response + "extra");
				respondOnce(upstream, response + "other");
			});
			HttpUrl url = HttpUrl.get("http://127.0.0.1:" + upstream.getLocalPort() + "/x");
			assertThat(text(url)).isEqualTo("first");
			assertThat(text(url)).isNotEqualTo("extra");
		}
	}

	private String text(HttpUrl url) throws Exception {
		return this.sender.send(new Request.Builder().url(url))
			.toCompletableFuture()
			.thenApply((exchange) -> (exchange instanceof Exchange.Answered answer) ? answer.text() : "")
			.get(60, TimeUnit.SECONDS);
	}

	private static void respondOnce(ServerSocket upstream, String response) {
		try (Socket connection = upstream.accept()) {
			byte[] request = new byte[4096];
			if (connection.getInputStream().read(request) > 0) {
				connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
				// The next request or the end of the connection.
				connection.getInputStream().read(request);
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	// Guards against taking the first part of a response without a length for the whole:
	// the library reads on after a write of the request has failed, and the failed write
	// has consumed the report of the reset.
	@Test
	void responseWithoutALengthIsCutOffIfTheRequestCouldNotBeWritten() throws Exception {
		try (ServerSocket upstream = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
			RequestBody body = RequestBody.create(new byte[64 * 1024 * 1024]);
			HttpUrl url = HttpUrl.get("http://127.0.0.1:" + upstream.getLocalPort() + "/early");
			CompletableFuture<Exchange> outcome = this.sender.send(new Request.Builder().url(url).post(body))
				.toCompletableFuture();
			try (Socket connection = upstream.accept()) {
				assertThat(connection.getInputStream().read()).isPositive();
				connection.getOutputStream()
					.write("HTTP/1.1 200 OK\r\n\r\nfirst half".getBytes(StandardCharsets.ISO_8859_1));
			}
			assertUnanswered(outcome.get(60, TimeUnit.SECONDS), Transmission.MAY_HAVE_BEEN_SENT, Verdict.MAY_HAVE_RUN);
		}
	}

	// Guards against taking a response for whole whose upstream stopped within it.
	@Test
	void cutResponseIsUnanswered() throws Exception {
		String head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
		for (String response : List.of(head + "Content-Length: 4\r\n\r\ntext", "HTTP/1.1 103 Early Hints\r\n\r\n" + head
				+ "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n")) {
			for (int length = 0; length < response.length(); length++) {
				assertUnanswered(cut(response.substring(0, length)), Transmission.MAY_HAVE_BEEN_SENT,
						Verdict.MAY_HAVE_RUN);
			}
		}
	}

	// Guards against an empty success of a service that stopped after the head.
	@Test
	void headWithoutALengthAndWithoutContentIsUnanswered() throws Exception {
		assertUnanswered(cut("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"), Transmission.MAY_HAVE_BEEN_SENT,
				Verdict.MAY_HAVE_RUN);
		for (String whole : List.of("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
				"HTTP/1.1 500 Error\r\n\r\n")) {
			assertThat(cut(whole)).isInstanceOf(Exchange.Answered.class);
		}
	}

	// Guards against passing on a response with what it says, or with a body that another
	// reader of it would end elsewhere.
	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.EXCLUDE,
			names = { "CHUNK_LONGER_THAN_ITS_SIZE", "INFORMATIONAL_WITH_BLANK_IN_NAME" })
	void malformedResponseIsUnanswered(MalformedResponse response) throws Exception {
		assertUnanswered(respond(response.bytes("")), Transmission.MAY_HAVE_BEEN_SENT, Verdict.MAY_HAVE_RUN);
	}

	// Guards against a part of a body that is taken for the whole: the library drops what
	// follows a chunk up to the end of the line.
	@Test
	void chunkThatGoesOnAfterItsSizeIsUnanswered() throws Exception {
		assertUnanswered(respond(MalformedResponse.CHUNK_LONGER_THAN_ITS_SIZE.bytes("")),
				Transmission.MAY_HAVE_BEEN_SENT, Verdict.MAY_HAVE_RUN);
	}

	private Exchange cut(String response) throws Exception {
		return respond(response.getBytes(StandardCharsets.ISO_8859_1));
	}

	private Exchange respond(byte[] response) throws Exception {
		try (ServerSocket upstream = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
			HttpUrl url = HttpUrl.get("http://127.0.0.1:" + upstream.getLocalPort() + "/cut");
			CompletableFuture<Exchange> outcome = this.sender.send(new Request.Builder().url(url))
				.toCompletableFuture();
			try (Socket connection = upstream.accept()) {
				byte[] request = new byte[1024];
				assertThat(connection.getInputStream().read(request)).isPositive();
				connection.getOutputStream().write(response);
			}
			return outcome.get(60, TimeUnit.SECONDS);
		}
	}

	// The server holds the answer back until the read has timed out. The
	// request has left, so running out of time does not mean that it never ran.
	@Test
	void aTimeoutAfterSendingMayHaveBeenSent() {
		try (HttpSender impatient = new HttpSender(HttpLimits.defaults().withTimeouts(Duration.ofMillis(200), LONG))) {
			assertUnanswered(get(impatient, "/held"), Transmission.MAY_HAVE_BEEN_SENT, Verdict.MAY_HAVE_RUN);
		}
	}

	@Test
	void anAnswerOverTheLimitIsNotTakenForWhole() {
		try (HttpSender small = new HttpSender(HttpLimits.defaults().withMaximumAnswerBytes(3))) {
			assertUnanswered(get(small, "/whole"), Transmission.MAY_HAVE_BEEN_SENT, Verdict.MAY_HAVE_RUN);
		}
	}

	// One call is under way and one is all that is allowed. The second is
	// refused before anything is sent, in place of waiting without a bound.
	@Test
	void aCallOverTheLimitWasNeverSent() {
		try (HttpSender narrow = new HttpSender(HttpLimits.defaults().withMaximumCalls(1))) {
			CompletableFuture<Exchange> first = narrow.send(request("/held").get()).toCompletableFuture();
			Context context = this.held.join();
			assertUnanswered(get(narrow, "/whole"), Transmission.NEVER_SENT, Verdict.NOT_RUN);
			context.send("late");
			assertThat(first.join()).isInstanceOf(Exchange.Answered.class);
		}
	}

	private void assertUnanswered(Exchange exchange, Transmission transmission, Verdict verdict) {
		assertThat(exchange).isInstanceOfSatisfying(Exchange.Unanswered.class, (unanswered) -> {
			assertThat(unanswered.transmission()).isEqualTo(transmission);
			assertThat(unanswered.transmission().verdict()).isEqualTo(verdict);
		});
	}

	private Exchange get(HttpSender sender, String path) {
		return sender.send(request(path).get()).toCompletableFuture().join();
	}

	private Exchange post(String path) {
		return this.sender.send(request(path).post(RequestBody.create(new byte[] { 1 }))).toCompletableFuture().join();
	}

	private Request.Builder request(String path) {
		HttpUrl url = new HttpUrl.Builder().scheme("http")
			.host("127.0.0.1")
			.port(this.server.address().getPort())
			.encodedPath(path)
			.build();
		return new Request.Builder().url(url);
	}

}
