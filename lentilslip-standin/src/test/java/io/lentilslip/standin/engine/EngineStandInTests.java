package io.lentilslip.standin.engine;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class EngineStandInTests {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final String CHAT = "/v1/chat/completions";

	private final EngineStandIn engine = EngineStandIn.start(EngineSettings.serving("danube-8b"));

	private final HttpClient client = HttpClient.newHttpClient();

	@AfterEach
	void close() {
		this.client.close();
		this.engine.close();
	}

	@Test
	void wholeAnswerHasTheTextOfTheStreamedOne() throws IOException, InterruptedException {
		JsonNode whole = JSON.readTree(post(CHAT, chat("false")).body());
		StringBuilder streamed = new StringBuilder();
		String[] lines = post(CHAT, chat("true")).body().split("\n\n");
		for (int i = 0; i < lines.length - 1; i++) {
			JsonNode part = JSON.readTree(lines[i].substring("data: ".length()));
			streamed.append(part.at("/choices/0/delta/content").asText());
		}
		assertThat(whole.at("/choices/0/message/content").asText()).isEqualTo(streamed.toString()).isNotEmpty();
		assertThat(whole.at("/usage/completion_tokens").asInt()).isEqualTo(7);
		assertThat(lines[lines.length - 1]).isEqualTo("data: [DONE]");
		assertThat(JSON.readTree(lines[lines.length - 2].substring("data: ".length())).path("usage").isObject())
			.isTrue();
	}

	@Test
	void namesItsModelsAndCountsItsRuns() throws IOException, InterruptedException {
		post(CHAT, chat("false"));
		assertThat(JSON.readTree(get("/v1/models").body()).at("/data/0/id").asText()).isEqualTo("danube-8b");
		JsonNode runs = JSON.readTree(get("/runs").body());
		assertThat(runs.path("generated_tokens").asInt()).isEqualTo(7);
		assertThat(runs.path("runs").path("a").asInt()).isOne();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', value = { "/v1/chat/completions|{|400", "/v1/chat/completions|[]|400",
			"/v1/chat/completions|{\"model\":\"danube-8b\"}|400", "/v1/chat/completions|{\"model\":1}|400",
			"/v1/chat/completions|{\"model\":\"danube-8b\",\"messages\":[{\"role\":\"user\"}],\"max_tokens\":-1}|400",
			"/v1/kv/import?session=s|x|400", "/v1/kv/import|x|400", "/v1/kv/export|{\"session\":\"s\"}|404",
			"/v1/orders|{\"order\":\"role\",\"role\":\"decode\"}|400", "/v1/orders|{\"order\":\"?\",\"fencing\":1}|400",
			"/v1/requests/x/cancel|{}|404", "/nothing|{}|404" })
	void badRequestGetsAnErrorAndRunsNothing(String path, String body, int status)
			throws IOException, InterruptedException {
		HttpResponse<String> response = post(path, body);
		assertThat(response.statusCode()).isEqualTo(status);
		assertThat(JSON.readTree(response.body()).at("/error/verdict").asText()).isEqualTo("not_run");
		assertThat(this.engine.prefilledTokens()).isZero();
		assertThat(this.engine.heldTokens()).isZero();
	}

	private static String chat(String streamed) {
		return """
				{"model":"danube-8b","stream":%s,"messages":[{"role":"user","content":"Hi [[tokens:7]]"}]}"""
			.formatted(streamed);
	}

	private HttpResponse<String> post(String path, String body) throws IOException, InterruptedException {
		return send(request(path).POST(HttpRequest.BodyPublishers.ofString(body)));
	}

	private HttpResponse<String> get(String path) throws IOException, InterruptedException {
		return send(request(path));
	}

	private HttpRequest.Builder request(String path) {
		return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.engine.address().getPort() + path))
			.header("X-Request-Id", "a");
	}

	private HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

}
