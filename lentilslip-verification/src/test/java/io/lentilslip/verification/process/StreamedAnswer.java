package io.lentilslip.verification.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A streamed answer as its caller sees it, piece by piece. Safe for use by several
 * threads.
 */
public final class StreamedAnswer {

	private static final String DATA = "data: ";

	private static final String DONE = "[DONE]";

	private final List<String> events = new ArrayList<>();

	private final CompletableFuture<Integer> status = new CompletableFuture<>();

	private final CompletableFuture<Void> ended = new CompletableFuture<>();

	private StreamedAnswer() {
	}

	static StreamedAnswer of(HttpRequest request) {
		StreamedAnswer answer = new StreamedAnswer();
		Thread.ofVirtual().start(() -> answer.read(request));
		return answer;
	}

	private void read(HttpRequest request) {
		try {
			HttpResponse<InputStream> response = Http.CLIENT.send(request, HttpResponse.BodyHandlers.ofInputStream());
			this.status.complete(response.statusCode());
			try (BufferedReader lines = new BufferedReader(
					new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
				for (String line = lines.readLine(); line != null; line = lines.readLine()) {
					take(line);
				}
			}
		}
		catch (IOException ex) {
			this.status.completeExceptionally(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.ended.complete(null);
		}
	}

	private synchronized void take(String line) {
		if (!line.isEmpty()) {
			this.events.add(line.startsWith(DATA) ? line.substring(DATA.length()) : line);
		}
	}

	private synchronized List<String> events() {
		return List.copyOf(this.events);
	}

	private List<JsonNode> chunks() {
		return events().stream().filter((event) -> event.startsWith("{")).map(Http::json).toList();
	}

	/**
	 * Returns the text so far.
	 * @return the text
	 */
	public String text() {
		return chunks().stream()
			.map((chunk) -> chunk.path("choices").path(0).path("delta").path("content").asText(""))
			.collect(Collectors.joining());
	}

	/**
	 * Waits until the stream is under way.
	 * @param words the words that must have come
	 */
	public void awaitWords(int words) {
		Waiting.until(words + " words of a stream", () -> {
			if (this.ended.isDone()) {
				throw new AssertionError("the stream has ended: " + this);
			}
			return text().split(" ").length >= words;
		});
	}

	/**
	 * Waits for the end of the stream, be it whole or not.
	 * @return this answer
	 */
	public StreamedAnswer awaitEnd() {
		this.ended.orTimeout(90, TimeUnit.SECONDS).join();
		return this;
	}

	/**
	 * Returns whether the stream has ended, be it whole or not.
	 * @return whether nothing more will come
	 */
	public boolean hasEnded() {
		return this.ended.isDone();
	}

	/**
	 * Returns whether the stream has the mark of a whole one.
	 * @return whether it is whole
	 */
	public boolean isWhole() {
		List<String> all = events();
		return !all.isEmpty() && all.getLast().equals(DONE);
	}

	/**
	 * Returns what the last chunk says of the durability.
	 * @return the durability, or an empty text
	 */
	public String durability() {
		return chunks().stream()
			.map((chunk) -> chunk.path("lentilslip").path("durability").asText(""))
			.filter((text) -> !text.isEmpty())
			.findFirst()
			.orElse("");
	}

	@Override
	public String toString() {
		return events().toString();
	}

}
