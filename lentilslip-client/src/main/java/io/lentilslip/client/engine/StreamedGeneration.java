package io.lentilslip.client.engine;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.util.concurrent.locks.ReentrantLock;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.lentilslip.client.http.Transmission;
import io.lentilslip.client.http.TransmissionRecorder;
import io.lentilslip.core.verdict.Verdict;
import okhttp3.Call;
import okhttp3.Response;
import okio.BufferedSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A generation read from a stream of server-sent events. {@link #run()} sends the request
 * once and reads the answer on its own thread. The stream's lines are read here rather
 * than by the HTTP library's reader of events, which sets no bound on the length of a
 * line. Invariants: one of finished and failed is delivered, once, and nothing after it;
 * nothing but the failure is delivered after {@link #cancel()}. Safe for use by several
 * threads.
 */
final class StreamedGeneration implements Generation, Runnable {

	private static final Logger logger = LoggerFactory.getLogger(StreamedGeneration.class);

	private static final String DATA = "data:";

	private static final String DONE = "[DONE]";

	private static final String CANCELLED = "cancelled";

	private static final long MAXIMUM_ERROR_BYTES = 64 * 1024;

	private final Call call;

	private final TransmissionRecorder recorder;

	private final Verdict earlier;

	private final long maximumLineBytes;

	private final GenerationListener listener;

	private final ReentrantLock delivery = new ReentrantLock();

	private final ToolCallAssembly toolCalls;

	private GenerationEnd.Usage usage = new GenerationEnd.Usage(0, 0, 0);

	private String finishReason = "";

	private boolean started;

	private boolean cancelled;

	private boolean ended;

	/**
	 * Creates a generation that is not sent yet.
	 * @param call the call
	 * @param recorder what records how far the call's request comes
	 * @param earlier what is known of earlier attempts of the same request
	 * @param maximumLineBytes the longest line of the stream, and the longest tool calls
	 * @param listener what is told of the answer
	 */
	StreamedGeneration(Call call, TransmissionRecorder recorder, Verdict earlier, long maximumLineBytes,
			GenerationListener listener) {
		this.call = call;
		this.recorder = recorder;
		this.earlier = earlier;
		this.maximumLineBytes = maximumLineBytes;
		this.toolCalls = new ToolCallAssembly(maximumLineBytes);
		this.listener = listener;
	}

	@Override
	public void run() {
		try (Response response = this.call.execute()) {
			if (!response.isSuccessful()) {
				fail(EngineAnswers.rejection(response.code(), response.peekBody(MAXIMUM_ERROR_BYTES).bytes()));
				return;
			}
			read(response.body().source());
		}
		catch (JsonProcessingException ex) {
			fail(broken("a part of the answer is not JSON"));
		}
		catch (IOException ex) {
			fail(failure(ex));
		}
		catch (RuntimeException ex) {
			// A listener that throws would otherwise wait for an end that never comes.
			logger.error("a listener of request {} failed", this.call.request().url(), ex);
			fail(broken("the answer was not taken"));
		}
	}

	private void read(BufferedSource source) throws IOException {
		while (!source.exhausted()) {
			String line = source.readUtf8LineStrict(this.maximumLineBytes);
			if (!line.startsWith(DATA)) {
				continue;
			}
			String data = line.substring(DATA.length()).strip();
			if (data.equals(DONE)) {
				end();
				return;
			}
			if (!accept(EngineAnswers.JSON.readTree(data))) {
				return;
			}
		}
		fail(broken("the answer broke off"));
	}

	private boolean accept(JsonNode part) throws IOException {
		if (part.has("error")) {
			fail(broken(part.path("error").path("message").asText("the engine reports an error")));
			return false;
		}
		if (!this.started) {
			this.started = true;
			deliver(this.listener::started);
		}
		JsonNode choice = part.path("choices").path(0);
		String text = choice.path("delta").path("content").asText("");
		if (!text.isEmpty()) {
			deliver(() -> this.listener.token(text));
		}
		this.toolCalls.add(choice.path("delta").path("tool_calls"));
		this.finishReason = choice.path("finish_reason").asText(this.finishReason);
		if (part.path("usage").isObject()) {
			this.usage = usage(part.path("usage"));
		}
		return true;
	}

	private static GenerationEnd.Usage usage(JsonNode usage) {
		return new GenerationEnd.Usage(usage.path("prompt_tokens").asLong(),
				usage.path("prompt_tokens_details").path("cached_tokens").asLong(),
				usage.path("completion_tokens").asLong());
	}

	private void end() {
		if (this.finishReason.isEmpty()) {
			fail(broken("the answer ended without a reason"));
			return;
		}
		if (this.finishReason.equals(CANCELLED)) {
			fail(new EngineFailure(Verdict.MAY_HAVE_RUN, new EngineFailure.Cause.Cancelled()));
			return;
		}
		GenerationEnd end = new GenerationEnd(this.usage, this.finishReason, this.toolCalls.toJson());
		boolean delivered = deliver(() -> {
			this.ended = true;
			this.listener.finished(end);
		});
		if (!delivered) {
			fail(new EngineFailure(Verdict.MAY_HAVE_RUN, new EngineFailure.Cause.Cancelled()));
		}
	}

	private boolean deliver(Runnable action) {
		this.delivery.lock();
		try {
			if (this.cancelled) {
				return false;
			}
			action.run();
			return true;
		}
		finally {
			this.delivery.unlock();
		}
	}

	private void fail(EngineFailure failure) {
		this.delivery.lock();
		try {
			if (this.ended) {
				return;
			}
			this.ended = true;
			EngineFailure.Cause cause = this.cancelled ? new EngineFailure.Cause.Cancelled() : failure.cause();
			this.listener.failed(new EngineFailure(failure.verdict().combine(this.earlier), cause));
		}
		finally {
			this.delivery.unlock();
		}
	}

	private EngineFailure failure(IOException exception) {
		String message = exception.getClass().getSimpleName() + ": " + exception.getMessage();
		Transmission transmission = this.recorder.transmission();
		EngineFailure.Cause cause = switch (transmission) {
			case NEVER_SENT -> (exception instanceof ConnectException) ? new EngineFailure.Cause.Refused(message)
					: new EngineFailure.Cause.NotReached(message);
			case MAY_HAVE_BEEN_SENT -> (exception instanceof InterruptedIOException)
					? new EngineFailure.Cause.Timeout(message) : new EngineFailure.Cause.Broken(message);
		};
		return new EngineFailure(transmission.verdict(), cause);
	}

	private static EngineFailure broken(String message) {
		return new EngineFailure(Verdict.MAY_HAVE_RUN, new EngineFailure.Cause.Broken(message));
	}

	@Override
	public void cancel() {
		this.delivery.lock();
		try {
			this.cancelled = true;
		}
		finally {
			this.delivery.unlock();
		}
		this.call.cancel();
	}

}
