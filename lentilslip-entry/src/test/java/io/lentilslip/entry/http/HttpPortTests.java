package io.lentilslip.entry.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.jooby.Context;
import io.lentilslip.core.configuration.Endpoint;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HttpPortTests {

	private static final Endpoint ANY = new Endpoint("127.0.0.1", 0);

	private static final int SAFETY_SECONDS = 60;

	// The process is closed, and only then the last call ends and the port is told to
	// finish. Its threads are gone: waiting for them, the stop would never end.
	@Test
	void finishesAtOnceWhenItIsClosedAlready() {
		HttpPort port = HttpPort.open(ANY, () -> HttpLimits.DEFAULT, 1, (application, opened) -> {
		});
		port.close();
		assertThat(port.finish()).isCompleted();
	}

	// A connection is accepted, and its own thread has not set it up yet when the port is
	// told to finish. A port that counts only what is set up says that no connection is
	// left, and the process ends under one that opens then; if another call holds the
	// process, the silent connection holds it on for as long as a caller may be silent.
	@Test
	void finishesAfterAConnectionThatWasBeingSetUp() throws Exception {
		CompletableFuture<HttpExchange> answered = new CompletableFuture<>();
		HeldSetUp setUp = new HeldSetUp();
		try (HttpPort port = HttpPort.open(ANY, setUp, 2, (application, opened) -> application.get("/",
				(context) -> answer(opened.exchange(context), answered, context))); setUp) {
			setUp.holdNext();
			try (Socket late = connect(port)) {
				setUp.awaitHeld();
				try (Socket known = connect(port)) {
					known.getOutputStream()
						.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
					HttpExchange exchange = answered.get(SAFETY_SECONDS, TimeUnit.SECONDS);
					CompletableFuture<Void> finished = port.finish();
					assertThat(known.getInputStream().readAllBytes()).isNotEmpty();
					awaitWhatFollowsTheEnd(exchange);
					assertThat(finished).isNotDone();
					setUp.release();
					assertThat(late.getInputStream().readAllBytes()).isEmpty();
					assertThat(finished.get(SAFETY_SECONDS, TimeUnit.SECONDS)).isNull();
				}
			}
		}
	}

	private static Context answer(HttpExchange exchange, CompletableFuture<HttpExchange> answered, Context context) {
		exchange.answer(HttpAnswer.ofJson(HttpAnswer.OK, List.of(), Json.object()));
		answered.complete(exchange);
		return context;
	}

	// The thread of the known connection is the one that accepts, so once this task ran,
	// all is done that a port does when it stops listening and this connection ends.
	private static void awaitWhatFollowsTheEnd(HttpExchange exchange) throws Exception {
		CompletableFuture<Void> over = new CompletableFuture<>();
		exchange.execute(() -> over.complete(null));
		over.get(SAFETY_SECONDS, TimeUnit.SECONDS);
	}

	private static Socket connect(HttpPort port) throws IOException {
		Socket socket = new Socket("127.0.0.1", port.address().getPort());
		socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(SAFETY_SECONDS));
		return socket;
	}

}
