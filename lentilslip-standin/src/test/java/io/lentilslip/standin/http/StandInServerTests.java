package io.lentilslip.standin.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class StandInServerTests {

	private static final Duration SOON = Duration.ofMillis(5);

	// Body longer than the buffer with which Jooby's own server goes to disk.
	private static final byte[] LONG_BODY = new byte[200_000];

	@Test
	void anAnswerGivenLaterArrives() throws Exception {
		try (StandInServer server = StandInServer.start(StandInServer.ANY_PORT,
				(application, running) -> application.get("/later", (context) -> {
					running.after(SOON, () -> context.send("late"));
					return context;
				}))) {
			assertThat(send(get("/later", server)).body()).isEqualTo("late");
		}
	}

	@Test
	void aLongBodyArrivesWhole() throws Exception {
		try (StandInServer server = StandInServer.start(StandInServer.ANY_PORT, (application, running) -> application
			.post("/size", (context) -> String.valueOf(context.body().bytes().length)))) {
			HttpRequest request = HttpRequest.newBuilder(uri("/size", server))
				.POST(HttpRequest.BodyPublishers.ofByteArray(LONG_BODY))
				.build();
			assertThat(send(request).body()).isEqualTo(Integer.toString(LONG_BODY.length));
		}
	}

	// One route resets its connection, another its connection within the body.
	// The client sees a failure in both cases and never the end of an answer.
	@Test
	void aResetIsNoAnswer() {
		try (StandInServer server = StandInServer.start(StandInServer.ANY_PORT, (application, running) -> {
			application.get("/reset", (context) -> {
				running.reset(context);
				return context;
			});
			application.get("/cut", (context) -> {
				running.cutOff(context, new byte[1], 2);
				return context;
			});
		})) {
			assertThatExceptionOfType(IOException.class).isThrownBy(() -> send(get("/reset", server)));
			assertThatExceptionOfType(IOException.class).isThrownBy(() -> send(get("/cut", server)));
		}
	}

	// A second server is started on the port of the first. It fails at once,
	// leaves nothing behind, and has the port once the first one is closed.
	@Test
	void aPortIsFreeOnceItsServerIsClosed() throws Exception {
		StandInServer first = start(StandInServer.ANY_PORT);
		int port = first.address().getPort();
		assertThatExceptionOfType(Exception.class).isThrownBy(() -> start(port));
		HttpRequest request = get("/", first);
		first.close();
		first.close();
		assertThatExceptionOfType(ConnectException.class).isThrownBy(() -> send(request));
		try (StandInServer second = start(port)) {
			assertThat(send(request).body()).isEqualTo("here");
		}
	}

	private static StandInServer start(int port) {
		return StandInServer.start(port, (application, running) -> application.get("/", (context) -> "here"));
	}

	private static HttpRequest get(String path, StandInServer server) {
		return HttpRequest.newBuilder(uri(path, server)).build();
	}

	private static URI uri(String path, StandInServer server) {
		return URI.create("http://127.0.0.1:" + server.address().getPort() + path);
	}

	private static HttpResponse<String> send(HttpRequest request) throws Exception {
		try (HttpClient client = HttpClient.newHttpClient()) {
			return client.send(request, HttpResponse.BodyHandlers.ofString());
		}
	}

}
