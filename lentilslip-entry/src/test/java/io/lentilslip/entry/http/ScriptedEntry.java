package io.lentilslip.entry.http;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.entry.EntryEffect;
import io.lentilslip.core.entry.EntryEvent;
import io.lentilslip.core.entry.Ticket;
import io.lentilslip.core.identity.Incarnation;

/**
 * A callers' port before a reducer that follows a script: each event is answered with the
 * effects that the test wrote for it. Events and effects run on one thread, as in an
 * entry.
 */
final class ScriptedEntry implements AutoCloseable, Submissions {

	static final Usage USAGE = new Usage(11, 4, 3);

	private static final long SAFETY_SECONDS = 60;

	private final BlockingQueue<EntryEvent> events = new LinkedBlockingQueue<>();

	private final ExecutorService loop = Executors.newSingleThreadExecutor();

	private final HttpClient client = HttpClient.newHttpClient();

	private final Script script;

	private final CallerPort port;

	private volatile boolean refusing;

	private ScriptedEntry(Supplier<HttpLimits> limits, Optional<Configuration> configuration, Script script) {
		this.script = script;
		CallerDesk desk = new CallerDesk(new Incarnation(7), this, () -> configuration, InstantSource.system(),
				() -> 1L);
		this.port = CallerPort.open(new Endpoint("127.0.0.1", 0), limits, 2, desk);
	}

	static ScriptedEntry following(Script script) {
		return new ScriptedEntry(() -> HttpLimits.DEFAULT, Optional.empty(), script);
	}

	static ScriptedEntry within(HttpLimits limits, Script script) {
		return within(() -> limits, script);
	}

	static ScriptedEntry within(Supplier<HttpLimits> limits, Script script) {
		return new ScriptedEntry(limits, Optional.empty(), script);
	}

	static ScriptedEntry configured(Configuration configuration) {
		return new ScriptedEntry(() -> HttpLimits.DEFAULT, Optional.of(configuration), (event) -> List.of());
	}

	static EntryEffect failed(Ticket ticket, CallFailure failure) {
		return new EntryEffect.Complete(ticket, new CallOutcome.Failed(failure));
	}

	static EntryEffect answered(Ticket ticket, String message, String finishReason) {
		CallResponse answer = new CallResponse.FromModel(message, finishReason, USAGE);
		return new EntryEffect.Complete(ticket, new CallOutcome.Completed(answer, Durability.COMMITTED, 3));
	}

	static Ticket ticketOf(EntryEvent event) {
		return switch (event) {
			case EntryEvent.CallArrived arrived -> arrived.ticket();
			case EntryEvent.ProgramStateRequested asked -> asked.ticket();
			case EntryEvent.ProgramEndRequested asked -> asked.ticket();
			case EntryEvent.CallerDisconnected gone -> gone.ticket();
			default -> throw new IllegalArgumentException("no event of a caller: " + event);
		};
	}

	ScriptedEntry refusing() {
		this.refusing = true;
		return this;
	}

	@Override
	public boolean submit(EntryEvent event) {
		if (!this.refusing) {
			post(event);
		}
		return !this.refusing;
	}

	@Override
	public void post(EntryEvent event) {
		this.events.add(event);
		this.loop.execute(() -> this.script.effectsOf(event).forEach(this::run));
	}

	private void run(EntryEffect effect) {
		switch (effect) {
			case EntryEffect.Deliver deliver -> this.port.run(deliver);
			case EntryEffect.Complete complete -> this.port.run(complete);
			case EntryEffect.SendProgramState show -> this.port.run(show);
			default -> throw new IllegalArgumentException("no effect for a caller: " + effect);
		}
	}

	<T extends EntryEvent> T next(Class<T> type) throws InterruptedException {
		return type.cast(this.events.poll(SAFETY_SECONDS, TimeUnit.SECONDS));
	}

	int waiting() {
		return this.events.size();
	}

	CallerPort port() {
		return this.port;
	}

	HttpRequest.Builder request(String path) {
		URI uri = URI.create("http://127.0.0.1:" + this.port.address().getPort() + path);
		return HttpRequest.newBuilder(uri)
			.timeout(Duration.ofSeconds(SAFETY_SECONDS))
			.header("Authorization", "Bearer secret");
	}

	HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	HttpResponse<String> chat(String body, String... headers) throws IOException, InterruptedException {
		HttpRequest.Builder request = request("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body));
		return send((headers.length > 0) ? request.headers(headers) : request);
	}

	Socket connect() throws IOException {
		Socket socket = new Socket("127.0.0.1", this.port.address().getPort());
		socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(SAFETY_SECONDS));
		return socket;
	}

	@Override
	public void close() {
		this.port.close();
		this.loop.shutdownNow();
		this.client.close();
	}

	/**
	 * What a reducer does with an event.
	 */
	@FunctionalInterface
	interface Script {

		List<EntryEffect> effectsOf(EntryEvent event);

	}

}
