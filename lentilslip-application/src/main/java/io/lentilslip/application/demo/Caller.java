package io.lentilslip.application.demo;

import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lentilslip.core.configuration.Endpoint;
import okhttp3.Headers;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

/**
 * A caller of an entry, who knows nothing but its address and a key. Safe for use by
 * several threads.
 */
final class Caller implements AutoCloseable {

	private static final Duration CALL_TIME = Duration.ofSeconds(30);

	private static final MediaType JSON = MediaType.get("application/json");

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String DATA = "data: ";

	private static final String DONE = "[DONE]";

	private final OkHttpClient client = new OkHttpClient.Builder().proxy(Proxy.NO_PROXY)
		.readTimeout(CALL_TIME)
		.callTimeout(CALL_TIME)
		.build();

	private final String base;

	/**
	 * Creates a caller.
	 * @param entry where the entry listens
	 */
	Caller(Endpoint entry) {
		this.base = "http://" + entry + "/v1/";
	}

	/**
	 * Calls a model and waits for the whole answer.
	 * @param headers the headers of the call
	 * @param body the request
	 * @return the answer
	 * @throws DemoException if the call fails
	 */
	ModelAnswer complete(Map<String, String> headers, ObjectNode body) throws DemoException {
		JsonNode answer = send("POST", "chat/completions", headers, Optional.of(body));
		JsonNode choice = answer.path("choices").path(0);
		return new ModelAnswer((ObjectNode) choice.path("message"), choice.path("finish_reason").asText(),
				TokenUse.of(answer.path("usage")));
	}

	/**
	 * Calls a model and shows the answer while it arrives.
	 * @param headers the headers of the call
	 * @param body the request
	 * @param text is given each piece of the text
	 * @return the answer, of which every piece was shown
	 * @throws DemoException if the call fails, or the stream ends without its end mark
	 */
	ModelAnswer stream(Map<String, String> headers, ObjectNode body, Consumer<String> text) throws DemoException {
		body.put("stream", true).putObject("stream_options").put("include_usage", true);
		Request request = request("POST", "chat/completions", headers, Optional.of(body));
		try (Response response = this.client.newCall(request).execute()) {
			if (!response.isSuccessful()) {
				throw new DemoException(failure(request, response.code(), response.body().string()));
			}
			return new EventReader(response.body().source(), text).read();
		}
		catch (IOException ex) {
			throw new DemoException(request.method() + " " + request.url() + ": " + ex, ex);
		}
	}

	/**
	 * Sends any request.
	 * @param method the method
	 * @param path the path below {@code /v1/}
	 * @param headers the headers
	 * @param body the body, if there is one
	 * @return the body of the answer
	 * @throws DemoException if the answer says anything but success
	 */
	JsonNode send(String method, String path, Map<String, String> headers, Optional<ObjectNode> body)
			throws DemoException {
		Request request = request(method, path, headers, body);
		try (Response response = this.client.newCall(request).execute()) {
			String answer = response.body().string();
			if (!response.isSuccessful()) {
				throw new DemoException(failure(request, response.code(), answer));
			}
			return MAPPER.readTree(answer);
		}
		catch (IOException ex) {
			throw new DemoException(method + " " + request.url() + ": " + ex, ex);
		}
	}

	private Request request(String method, String path, Map<String, String> headers, Optional<ObjectNode> body) {
		return new Request.Builder().url(this.base + path)
			.headers(Headers.of(headers))
			.method(method, body.map((json) -> RequestBody.create(json.toString(), JSON)).orElse(null))
			.build();
	}

	private static String failure(Request request, int status, String body) {
		return request.method() + " " + request.url().encodedPath() + ": status " + status + ", " + body;
	}

	@Override
	public void close() {
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
	}

	/**
	 * The answer of a model.
	 *
	 * @param message the message of the assistant
	 * @param finishReason why it ended
	 * @param use the tokens it took
	 */
	record ModelAnswer(ObjectNode message, String finishReason, TokenUse use) {

	}

	/**
	 * A reader of a stream of server-sent events. Used by one thread.
	 */
	private static final class EventReader {

		private final BufferedSource source;

		private final Consumer<String> listener;

		private final StringBuilder text = new StringBuilder();

		private String finishReason = "";

		private TokenUse use = TokenUse.NONE;

		EventReader(BufferedSource source, Consumer<String> listener) {
			this.source = source;
			this.listener = listener;
		}

		// A stream without its end mark was cut off, however much text came before.
		ModelAnswer read() throws IOException, DemoException {
			for (String line = this.source.readUtf8Line(); line != null; line = this.source.readUtf8Line()) {
				if (line.equals(DATA + DONE)) {
					ObjectNode message = JsonNodeFactory.instance.objectNode();
					message.put("role", "assistant").put("content", this.text.toString());
					return new ModelAnswer(message, this.finishReason, this.use);
				}
				if (line.startsWith(DATA)) {
					take(MAPPER.readTree(line.substring(DATA.length())));
				}
			}
			throw new DemoException("a stream ended without its end mark");
		}

		private void take(JsonNode event) throws DemoException {
			if (event.has("error")) {
				throw new DemoException("a stream failed: " + event);
			}
			JsonNode choice = event.path("choices").path(0);
			String piece = choice.path("delta").path("content").asText("");
			if (!piece.isEmpty()) {
				this.text.append(piece);
				this.listener.accept(piece);
			}
			if (choice.hasNonNull("finish_reason")) {
				this.finishReason = choice.get("finish_reason").asText();
			}
			if (event.hasNonNull("usage")) {
				this.use = TokenUse.of(event.get("usage"));
			}
		}

	}

}
