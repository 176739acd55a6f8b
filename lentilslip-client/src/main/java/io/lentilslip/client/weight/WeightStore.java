package io.lentilslip.client.weight;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.lentilslip.client.http.Exchange;
import io.lentilslip.client.http.HttpLimits;
import io.lentilslip.client.http.HttpSender;
import io.lentilslip.client.http.JsonAnswers;
import io.lentilslip.client.http.RetryAfter;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.identity.Digest;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.Response;

/**
 * The store of model weights, which limits the rate of requests. Stages always complete,
 * and never exceptionally. Implementations are safe for use by several threads.
 */
public interface WeightStore extends AutoCloseable {

	/**
	 * Asks what the store holds for a version.
	 * @param version the version
	 * @return the description, or why there is none
	 */
	CompletionStage<WeightOutcome<WeightDescription>> describe(WeightVersion version);

	/**
	 * Fetches the bytes of a version.
	 * @param description the description, which the bytes are checked against
	 * @return the stream, which the receiver closes, or why there is none
	 */
	CompletionStage<WeightOutcome<WeightStream>> fetch(WeightDescription description);

	@Override
	void close();

	/**
	 * A weight store that is reached by HTTP. Safe for use by several threads.
	 */
	final class ForHttp implements WeightStore {

		private static final int OK = 200;

		private static final int NOT_FOUND = 404;

		private static final int TOO_MANY_REQUESTS = 429;

		private final HttpUrl base;

		private final HttpSender descriptions;

		private final HttpSender contents;

		/**
		 * Creates a client.
		 * @param service where the weight store listens
		 * @param limits the bounds of a description; the contents, which take as long as
		 * they take, are bounded by the size described and by the read timeout
		 */
		public ForHttp(Endpoint service, HttpLimits limits) {
			this.base = HttpUrl.get("http://" + service + "/v1/weights");
			this.descriptions = new HttpSender(limits);
			this.contents = new HttpSender(limits.withTimeouts(limits.readTimeout(), Duration.ZERO));
		}

		@Override
		public CompletionStage<WeightOutcome<WeightDescription>> describe(WeightVersion version) {
			Request.Builder request = new Request.Builder().url(url(version, "description"));
			return this.descriptions.send(request).thenApply((exchange) -> description(exchange, version));
		}

		@Override
		public CompletionStage<WeightOutcome<WeightStream>> fetch(WeightDescription description) {
			Request request = new Request.Builder().url(url(description.version(), "content")).build();
			StreamedAnswer answer = new StreamedAnswer(description);
			this.contents.client().newCall(request).enqueue(answer);
			return answer.outcome;
		}

		@Override
		public void close() {
			this.descriptions.close();
			this.contents.close();
		}

		private HttpUrl url(WeightVersion version, String part) {
			return this.base.newBuilder()
				.addPathSegment(part)
				.addQueryParameter("model", version.model().value())
				.addQueryParameter("version", version.version())
				.build();
		}

		private static WeightOutcome<WeightDescription> description(Exchange exchange, WeightVersion version) {
			if (exchange instanceof Exchange.Unanswered unanswered) {
				return new WeightOutcome.Unavailable<>(unanswered.reason());
			}
			Exchange.Answered answer = (Exchange.Answered) exchange;
			if (answer.status() != OK) {
				return refusal(answer.status(), RetryAfter.of(answer));
			}
			return JsonAnswers.read(answer, DescriptionBody.class)
				.flatMap((body) -> body.toDescription(version))
				.<WeightOutcome<WeightDescription>>map(WeightOutcome.Found::new)
				.orElseGet(() -> new WeightOutcome.Unavailable<>("unreadable answer"));
		}

		private static <T> WeightOutcome<T> refusal(int status, Optional<Duration> retryAfter) {
			return switch (status) {
				case NOT_FOUND -> new WeightOutcome.NotFound<>();
				case TOO_MANY_REQUESTS -> new WeightOutcome.RateLimited<>(retryAfter);
				default -> new WeightOutcome.Unavailable<>("status " + status);
			};
		}

		/**
		 * The body of a description.
		 *
		 * @param size the number of bytes
		 * @param digest the SHA-256 digest in hexadecimal digits
		 */
		private record DescriptionBody(long size, String digest) {

			Optional<WeightDescription> toDescription(WeightVersion version) {
				try {
					return Optional.of(new WeightDescription(version, this.size, new Digest(this.digest)));
				}
				catch (IllegalArgumentException ex) {
					return Optional.empty();
				}
			}

		}

		/**
		 * A callback that hands the body of an answer on as a stream. Called once, by the
		 * thread that runs the call.
		 */
		private static final class StreamedAnswer implements Callback {

			private final CompletableFuture<WeightOutcome<WeightStream>> outcome = new CompletableFuture<>();

			private final WeightDescription description;

			StreamedAnswer(WeightDescription description) {
				this.description = description;
			}

			@Override
			public void onFailure(Call call, IOException ex) {
				this.outcome.complete(new WeightOutcome.Unavailable<>(ex.toString()));
			}

			@Override
			public void onResponse(Call call, Response response) {
				if (response.code() == OK) {
					WeightStream stream = new WeightStream(response.body().byteStream(), this.description);
					this.outcome.complete(new WeightOutcome.Found<>(stream));
					return;
				}
				try (response) {
					this.outcome.complete(refusal(response.code(), RetryAfter.of(response)));
				}
			}

		}

	}

}
