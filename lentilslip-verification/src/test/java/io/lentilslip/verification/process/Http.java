package io.lentilslip.verification.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Plain HTTP requests of the tests. Safe for use by several threads.
 */
public final class Http {

	static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final Duration BOUND = Duration.ofSeconds(90);

	private Http() {
	}

	/**
	 * Returns the answer to a GET request.
	 * @param address the server
	 * @param path the path
	 * @return the answer
	 */
	public static HttpResponse<String> get(InetSocketAddress address, String path) {
		return send(request(address, path).GET());
	}

	static HttpRequest.Builder request(InetSocketAddress address, String path) {
		return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path)).timeout(BOUND);
	}

	static HttpResponse<String> send(HttpRequest.Builder request) {
		try {
			return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new AssertionError(ex);
		}
	}

	/**
	 * Returns the body of an answer.
	 * @param response the answer
	 * @return the body
	 */
	public static JsonNode json(HttpResponse<String> response) {
		return json(response.body());
	}

	/**
	 * Returns a text as JSON.
	 * @param text the text
	 * @return the value
	 */
	public static JsonNode json(String text) {
		try {
			return JSON.readTree(text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
