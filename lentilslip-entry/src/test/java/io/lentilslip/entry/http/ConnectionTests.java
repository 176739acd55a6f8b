package io.lentilslip.entry.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.entry.EntryEffect;
import io.lentilslip.core.entry.EntryEvent;
import io.lentilslip.core.entry.Ticket;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConnectionTests {

	private static final String BODY = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

	private static final String STREAM = BODY.replace("}]}", "}],\"stream\":true}");

	private static final HttpLimits SMALL = new HttpLimits(1000, 1000, 4000, 10, 2, 10_000, Duration.ofSeconds(30),
			Duration.ofSeconds(30), Duration.ofSeconds(75));

	// A caller of a whole answer closes its connection while its call runs. Nothing is
	// being written then, so only the end of the connection tells: the reducer must hear
	// of it at once, or an engine works on for nobody.
	@Test
	void closedConnectionGivesUpACallThatWaits() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry.following((event) -> List.of())) {
			try (Socket socket = entry.connect()) {
				send(socket, post(BODY));
				entry.next(EntryEvent.CallArrived.class);
			}
			assertThat(entry.next(EntryEvent.CallerDisconnected.class).ticket()).isEqualTo(new Ticket(1));
			assertThat(entry.port().openCalls()).isZero();
		}
	}

	@Test
	void closedConnectionGivesUpAStream() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> List.of(new EntryEffect.Deliver(ScriptedEntry.ticketOf(event), "go")))) {
			try (Socket socket = entry.connect()) {
				send(socket, post(STREAM));
				assertThat(socket.getInputStream().read()).isEqualTo('H');
			}
			entry.next(EntryEvent.CallArrived.class);
			assertThat(entry.next(EntryEvent.CallerDisconnected.class).ticket()).isEqualTo(new Ticket(1));
		}
	}

	// A caller asks for a stream and never reads it. What it leaves unread is kept in
	// memory, so above a bound the call is given up and the connection reset.
	@Test
	void callerThatDoesNotReadIsGivenUp() throws Exception {
		String part = "x".repeat(1 << 20);
		try (ScriptedEntry entry = ScriptedEntry.within(SMALL, (event) -> {
			List<EntryEffect> effects = new ArrayList<>();
			for (int count = 0; count < 64; count++) {
				effects.add(new EntryEffect.Deliver(ScriptedEntry.ticketOf(event), part));
			}
			return effects;
		}); Socket socket = entry.connect()) {
			send(socket, post(STREAM));
			entry.next(EntryEvent.CallArrived.class);
			assertThat(entry.next(EntryEvent.CallerDisconnected.class).ticket()).isEqualTo(new Ticket(1));
		}
	}

	// A caller sends the head of a request and then nothing. It would hold its connection
	// and its part of the memory for ever; it is told instead, and the call did not run.
	@Test
	void requestThatDoesNotArriveIsRefused() throws Exception {
		HttpLimits hasty = new HttpLimits(1000, 1000, 4000, 10, 2, 10_000, Duration.ofMillis(100),
				Duration.ofSeconds(30), Duration.ofSeconds(75));
		try (ScriptedEntry entry = ScriptedEntry.within(hasty, (event) -> List.of()); Socket socket = entry.connect()) {
			send(socket, post(BODY).substring(0, 150));
			assertRefusal(receive(socket), 408);
		}
	}

	@Test
	void bodyOverTheLimitIsRefused() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry.within(SMALL, (event) -> List.of())) {
			try (Socket declared = entry.connect()) {
				send(declared, post("x".repeat(5000)));
				assertRefusal(receive(declared), 413);
			}
			try (Socket chunked = entry.connect()) {
				send(chunked, head("Transfer-Encoding: chunked") + "7d0\r\n" + "x".repeat(2000) + "\r\n0\r\n\r\n");
				assertRefusal(receive(chunked), 413);
			}
		}
	}

	// Each body is within the limit of one request, but they come at once: those that do
	// not fit together are refused, and fit again once the first ones are done with.
	@Test
	void bodiesOverTheLimitOfAllAreRefused() throws Exception {
		HttpLimits narrow = new HttpLimits(1000, 1000, 1500, 10, 10, 10_000, Duration.ofSeconds(30),
				Duration.ofSeconds(30), Duration.ofSeconds(75));
		String large = BODY.replace("hi", "h".repeat(900));
		try (ScriptedEntry entry = ScriptedEntry.within(narrow, (event) -> List.of())) {
			try (Socket first = entry.connect(); Socket second = entry.connect()) {
				send(first, post(large));
				entry.next(EntryEvent.CallArrived.class);
				send(second, post(large));
				assertRefusal(receive(second), 429);
			}
			entry.next(EntryEvent.CallerDisconnected.class);
			try (Socket third = entry.connect()) {
				send(third, post(large));
				assertThat(entry.next(EntryEvent.CallArrived.class)).isNotNull();
			}
		}
	}

	@Test
	void headersOverTheLimitAreRefused() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry.within(SMALL, (event) -> List.of()); Socket socket = entry.connect()) {
			send(socket, head("X-Long: " + "x".repeat(5000)) + "\r\n");
			assertRefusal(receive(socket), 431);
		}
	}

	@Test
	void whatIsNoHttpIsRefused() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry.within(SMALL, (event) -> List.of()); Socket socket = entry.connect()) {
			send(socket, "POST /v1/chat/completions HTTP/1.1\r\n: none\r\n\r\n");
			assertRefusal(receive(socket), 400);
		}
	}

	@Test
	void callOverTheLimitOfOpenCallsDidNotRun() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry.within(SMALL, (event) -> List.of());
				Socket first = entry.connect();
				Socket second = entry.connect()) {
			send(first, post(BODY));
			entry.next(EntryEvent.CallArrived.class);
			send(second, post(BODY));
			entry.next(EntryEvent.CallArrived.class);
			HttpResponse<String> response = entry.chat(BODY);
			assertThat(response.statusCode()).isEqualTo(429);
			assertThat(response.body()).contains("\"verdict\":\"not_run\"");
		}
	}

	// A process drains while a caller waits for its answer and another connection is
	// idle. The idle one ends, the answer comes whole, and its connection ends after it.
	// A caller is connected before the port has its connection, so the drain waits here:
	// one that the port takes only after a drain is kept, as the next test holds.
	@Test
	void drainingEndsConnectionsAfterTheirAnswers() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry.following((event) -> List.of());
				Socket busy = entry.connect();
				Socket idle = entry.connect()) {
			send(busy, post(BODY));
			Ticket ticket = entry.next(EntryEvent.CallArrived.class).ticket();
			while (entry.port().connections() < 2) {
				Thread.onSpinWait();
			}
			entry.port().drain();
			assertThat(receive(idle)).isEmpty();
			entry.port()
				.run((EntryEffect.Complete) ScriptedEntry.answered(ticket, "{\"content\":\"good day\"}", "stop"));
			assertThat(receive(busy)).containsIgnoringCase("connection: close").contains("good day");
		}
	}

	// A process drains while a stream is under way. Its head has left and promised that
	// the connection is kept, so nothing but the end of the connection after the stream
	// drains it; else it stays open for as long as a caller may be silent.
	@Test
	void drainingEndsTheConnectionOfAStreamThatBeganBefore() throws Exception {
		try (ScriptedEntry entry = ScriptedEntry
			.following((event) -> List.of(new EntryEffect.Deliver(ScriptedEntry.ticketOf(event), "go")));
				Socket socket = entry.connect()) {
			send(socket, post(STREAM));
			assertThat(socket.getInputStream().read()).isEqualTo('H');
			Ticket ticket = entry.next(EntryEvent.CallArrived.class).ticket();
			entry.port().drain();
			entry.port()
				.run((EntryEffect.Complete) ScriptedEntry.answered(ticket, "{\"content\":\"good day\"}", "stop"));
			assertThat(receive(socket)).contains("[DONE]");
		}
	}

	// A process drains after an answer that its caller has not read whole. The connection
	// carries no call any more and can't be closed yet, so its end must follow the last
	// byte; else the process waits for it for as long as a caller may be silent.
	@Test
	void drainingEndsAConnectionWhoseAnswerIsStillBeingRead() throws Exception {
		String text = "x".repeat(16 << 20);
		try (ScriptedEntry entry = ScriptedEntry.following((event) -> List
			.of(ScriptedEntry.answered(ScriptedEntry.ticketOf(event), "{\"content\":\"" + text + "\"}", "stop")));
				Socket socket = entry.connect()) {
			send(socket, post(BODY));
			assertThat(socket.getInputStream().read()).isEqualTo('H');
			entry.port().drain();
			assertThat(receive(socket)).hasSizeGreaterThan(text.length());
		}
	}

	// A caller is connected, and the process drains before the port has set that up. The
	// port can't tell the connection from one that came after the drain, so it stays open
	// for one request: cut off, the caller would not know whether that ran.
	@Test
	void connectionSetUpAfterADrainEndsAfterItsAnswer() throws Exception {
		HeldSetUp setUp = new HeldSetUp();
		try (ScriptedEntry entry = ScriptedEntry.within(setUp,
				(event) -> List.of(ScriptedEntry.failed(ScriptedEntry.ticketOf(event),
						CallFailure.notRun(FailureCause.STOPPING, "this entry is stopping"))));
				setUp) {
			setUp.holdNext();
			try (Socket late = entry.connect()) {
				setUp.awaitHeld();
				entry.port().drain();
				setUp.release();
				send(late, post(BODY));
				String response = receive(late);
				assertRefusal(response, 503);
				assertThat(response).containsIgnoringCase("connection: close");
			}
		}
	}

	private static String head(String header) {
		return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\n" + header
				+ "\r\n\r\n";
	}

	private static String post(String body) {
		return head("Content-Length: " + body.length()) + body;
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	private static String receive(Socket socket) throws IOException {
		try (InputStream stream = socket.getInputStream()) {
			return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	private static void assertRefusal(String response, int status) {
		assertThat(response).startsWith("HTTP/1.1 " + status);
		assertThat(response).contains("\"error\":{").contains("\"verdict\":\"not_run\"").doesNotContain("Exception");
	}

}
