package io.lentilslip.client.log;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.lentilslip.client.http.Exchange;
import io.lentilslip.client.http.HttpLimits;
import io.lentilslip.client.http.HttpSender;
import io.lentilslip.client.http.JsonAnswers;
import io.lentilslip.client.http.RetryAfter;
import io.lentilslip.client.http.Transmission;
import io.lentilslip.core.configuration.Endpoint;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;

/**
 * The append-only log service. Nothing is tried a second time here: whether a record may
 * stand twice is for the caller to decide. Stages always complete, and never
 * exceptionally. Implementations are safe for use by several threads.
 */
public interface LogService extends AutoCloseable {

	/**
	 * The longest record, in bytes.
	 */
	int MAXIMUM_RECORD_BYTES = 1024 * 1024;

	/**
	 * The longest time that a read may wait for a record.
	 */
	Duration MAXIMUM_WAIT = Duration.ofSeconds(30);

	/**
	 * Appends a record.
	 * @param stream the stream
	 * @param data the bytes of the record, not changed until the stage completes
	 * @return how the append ended
	 */
	CompletionStage<AppendOutcome> append(StreamName stream, byte[] data);

	/**
	 * Reads records.
	 * @param stream the stream
	 * @param from the offset to read from
	 * @param limit the most records to return
	 * @param wait how long to wait for a record at or past {@code from}; not more than
	 * {@link #MAXIMUM_WAIT}
	 * @return how the read ended
	 */
	CompletionStage<ReadOutcome> read(StreamName stream, long from, int limit, Duration wait);

	@Override
	void close();

	/**
	 * A log service that is reached by HTTP. Safe for use by several threads.
	 */
	final class ForHttp implements LogService {

		private static final int OK = 200;

		private static final int TOO_LARGE = 413;

		private static final int TOO_MANY_REQUESTS = 429;

		private static final int UNAVAILABLE = 503;

		private static final MediaType OCTETS = MediaType.get("application/octet-stream");

		private final HttpUrl base;

		private final Duration callTimeout;

		private final HttpSender appends;

		private final HttpSender reads;

		/**
		 * Creates a client with the usual limits.
		 * @param service where the log service listens
		 */
		public ForHttp(Endpoint service) {
			this(service, HttpLimits.defaults());
		}

		/**
		 * Creates a client.
		 * @param service where the log service listens
		 * @param limits the bounds of an append, and of a read without its wait
		 */
		public ForHttp(Endpoint service, HttpLimits limits) {
			this.base = HttpUrl.get("http://" + service + "/v1/streams");
			this.callTimeout = limits.callTimeout();
			this.appends = new HttpSender(limits);
			// Reads that wait have a sender of their own, so that they take no place from
			// appends. A waiting read is silent for long; the call timeout bounds it.
			this.reads = new HttpSender(limits.withTimeouts(limits.readTimeout().plus(MAXIMUM_WAIT),
					limits.callTimeout().plus(MAXIMUM_WAIT)));
		}

		@Override
		public CompletionStage<AppendOutcome> append(StreamName stream, byte[] data) {
			if (data.length > MAXIMUM_RECORD_BYTES) {
				return CompletableFuture.completedFuture(
						new AppendOutcome.NotAppended("record of " + data.length + " bytes", Optional.empty()));
			}
			Request.Builder request = new Request.Builder().url(records(stream).build())
				.post(RequestBody.create(data, OCTETS));
			return this.appends.send(request).thenApply(ForHttp::appendOutcome);
		}

		@Override
		public CompletionStage<ReadOutcome> read(StreamName stream, long from, int limit, Duration wait) {
			Duration bounded = (wait.compareTo(MAXIMUM_WAIT) < 0) ? wait : MAXIMUM_WAIT;
			HttpUrl url = records(stream).addQueryParameter("from", Long.toString(from))
				.addQueryParameter("limit", Integer.toString(limit))
				.addQueryParameter("wait_ms", Long.toString(bounded.toMillis()))
				.build();
			return this.reads.start(new Request.Builder().url(url), this.callTimeout.plus(bounded))
				.outcome()
				.thenApply((exchange) -> readOutcome(exchange, from, limit));
		}

		@Override
		public void close() {
			this.appends.close();
			this.reads.close();
		}

		private HttpUrl.Builder records(StreamName stream) {
			return this.base.newBuilder().addPathSegment(stream.value()).addPathSegment("records");
		}

		private static AppendOutcome appendOutcome(Exchange exchange) {
			return switch (exchange) {
				case Exchange.Answered answer -> appendOutcome(answer);
				case Exchange.Unanswered unanswered -> appendOutcome(unanswered);
			};
		}

		/**
		 * Reads an answer to an append. Only the statuses by which the log states that it
		 * did nothing count as such. Any other, also an error 500 or an offset that can't
		 * be read, may come after the record was stored; told as "not appended" it would
		 * make the caller forget a record that others see.
		 * @param answer the answer
		 * @return how the append ended
		 */
		private static AppendOutcome appendOutcome(Exchange.Answered answer) {
			return switch (answer.status()) {
				case OK -> JsonAnswers.read(answer, OffsetBody.class)
					.filter((body) -> body.offset() >= 0)
					.<AppendOutcome>map((body) -> new AppendOutcome.Appended(body.offset()))
					.orElseGet(() -> new AppendOutcome.Unknown("unreadable answer"));
				case TOO_LARGE, TOO_MANY_REQUESTS, UNAVAILABLE ->
					new AppendOutcome.NotAppended("status " + answer.status(), RetryAfter.of(answer));
				default -> new AppendOutcome.Unknown("status " + answer.status());
			};
		}

		private static AppendOutcome appendOutcome(Exchange.Unanswered unanswered) {
			if (unanswered.transmission() == Transmission.NEVER_SENT) {
				return new AppendOutcome.NotAppended(unanswered.reason(), Optional.empty());
			}
			return new AppendOutcome.Unknown(unanswered.reason());
		}

		private static ReadOutcome readOutcome(Exchange exchange, long from, int limit) {
			if (exchange instanceof Exchange.Unanswered unanswered) {
				return new ReadOutcome.Unavailable(unanswered.reason());
			}
			Exchange.Answered answer = (Exchange.Answered) exchange;
			if (answer.status() != OK) {
				return new ReadOutcome.Unavailable("status " + answer.status());
			}
			return JsonAnswers.read(answer, RecordsBody.class)
				.filter((body) -> body.isAnswerTo(from, limit))
				.<ReadOutcome>map(RecordsBody::toOutcome)
				.orElseGet(() -> new ReadOutcome.Unavailable("unreadable answer"));
		}

		/**
		 * The body of the answer to an append.
		 *
		 * @param offset the offset of the record
		 */
		private record OffsetBody(long offset) {

		}

		/**
		 * A record in the body of the answer to a read.
		 *
		 * @param offset the offset of the record
		 * @param time the log's time of the record, in milliseconds since 1970
		 * @param data the bytes of the record, in Base64
		 */
		private record RecordBody(long offset, @JsonProperty("time_ms") long time, byte[] data) {

			LogRecord toRecord() {
				return new LogRecord(this.offset, Instant.ofEpochMilli(this.time), this.data);
			}

		}

		/**
		 * The body of the answer to a read.
		 *
		 * @param first the oldest offset that is still kept
		 * @param next the offset of the next append
		 * @param records the records
		 */
		private record RecordsBody(long first, long next, List<RecordBody> records) {

			/**
			 * Returns whether this can be the answer to a read. A record from elsewhere,
			 * or out of order, would be applied in a place where it never stood.
			 * @param from the offset that was read from
			 * @param limit the most records
			 * @return {@code true} if every record has a place
			 */
			boolean isAnswerTo(long from, int limit) {
				if (this.first < 0 || this.next < this.first || this.records.size() > limit) {
					return false;
				}
				long expected = Math.max(from, this.first);
				for (RecordBody body : this.records) {
					if (body == null || body.offset != expected || body.offset >= this.next) {
						return false;
					}
					expected++;
				}
				return true;
			}

			ReadOutcome toOutcome() {
				List<LogRecord> values = new ArrayList<>(this.records.size());
				for (RecordBody body : this.records) {
					values.add(Objects.requireNonNull(body, "body").toRecord());
				}
				return new ReadOutcome.Records(this.first, this.next, values);
			}

		}

	}

}
