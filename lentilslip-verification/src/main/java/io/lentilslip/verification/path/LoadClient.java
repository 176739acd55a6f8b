package io.lentilslip.verification.path;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;

import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * A client that sends model calls to one address and keeps their latencies. A call that
 * is not answered with success counts as an error and not as a latency. Safe for use by
 * several threads.
 */
final class LoadClient implements AutoCloseable {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final long MAXIMUM_MICROSECONDS = TimeUnit.MINUTES.toMicros(2);

	private static final int DIGITS = 3;

	private static final int CONNECTIONS = 512;

	private final String address;

	private final OkHttpClient http = new OkHttpClient.Builder().callTimeout(Duration.ofMinutes(1))
		.connectionPool(new ConnectionPool(CONNECTIONS, 1, TimeUnit.MINUTES))
		.build();

	private final AtomicLong numbers = new AtomicLong();

	/**
	 * Creates a client.
	 * @param port the port of this machine that the calls go to
	 */
	LoadClient(int port) {
		this.address = "http://127.0.0.1:" + port + "/v1/chat/completions";
	}

	/**
	 * Sends calls from a number of callers, each as soon as its last one is answered.
	 * @param callers the number of callers
	 * @param calls the number of calls in all
	 * @param kind what the calls ask for
	 * @return what was measured
	 * @throws InterruptedException if the thread is interrupted
	 */
	Measured closedLoop(int callers, int calls, CallKind kind) throws InterruptedException {
		Collected collected = new Collected();
		AtomicLong left = new AtomicLong(calls);
		long start = System.nanoTime();
		try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
			for (int caller = 0; caller < callers; caller++) {
				threads.execute(() -> {
					while (left.getAndDecrement() > 0) {
						collected.add(System.nanoTime(), call(kind));
					}
				});
			}
		}
		return collected.over(System.nanoTime() - start);
	}

	/**
	 * Sends calls at a rate, whether or not earlier ones are answered. A latency counts
	 * from the time at which the call was due, so that a late client hides no waiting.
	 * @param callsPerSecond the rate
	 * @param calls the number of calls in all
	 * @param kind what the calls ask for
	 * @return what was measured
	 * @throws InterruptedException if the thread is interrupted
	 */
	Measured openLoop(double callsPerSecond, int calls, CallKind kind) throws InterruptedException {
		Collected collected = new Collected();
		long start = System.nanoTime();
		double gap = TimeUnit.SECONDS.toNanos(1) / callsPerSecond;
		try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
			for (int number = 0; number < calls; number++) {
				long due = start + (long) (number * gap);
				while (System.nanoTime() < due) {
					LockSupport.parkNanos(due - System.nanoTime());
				}
				threads.execute(() -> collected.add(due, call(kind)));
			}
		}
		return collected.over(System.nanoTime() - start);
	}

	private boolean call(CallKind kind) {
		Request request = new Request.Builder().url(this.address)
			.header("Authorization", "Bearer " + BenchmarkSite.KEY)
			.post(RequestBody.create(kind.body(this.numbers.incrementAndGet()), JSON))
			.build();
		try (Response response = this.http.newCall(request).execute()) {
			response.body().bytes();
			return response.isSuccessful();
		}
		catch (IOException ex) {
			return false;
		}
	}

	@Override
	public void close() {
		this.http.connectionPool().evictAll();
		this.http.dispatcher().executorService().shutdown();
	}

	/**
	 * What a call asks for.
	 */
	enum CallKind {

		/**
		 * A short answer, whole.
		 */
		WHOLE(false),

		/**
		 * A short answer, as it is generated.
		 */
		STREAMED(true);

		private final boolean streamed;

		CallKind(boolean streamed) {
			this.streamed = streamed;
		}

		private String body(long number) {
			return """
					{"model":"%s","max_tokens":16,"stream":%s,"messages":[{"role":"user","content":"boat %d please"}]}"""
				.formatted(BenchmarkSite.MODEL, this.streamed, number);
		}

	}

	/**
	 * The latencies of the calls so far.
	 */
	private static final class Collected {

		private final Histogram latencies = new ConcurrentHistogram(MAXIMUM_MICROSECONDS, DIGITS);

		private final LongAdder errors = new LongAdder();

		private void add(long since, boolean answered) {
			if (answered) {
				long microseconds = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - since);
				this.latencies.recordValue(Math.min(microseconds, MAXIMUM_MICROSECONDS));
			}
			else {
				this.errors.increment();
			}
		}

		private Measured over(long nanos) {
			double seconds = (double) nanos / TimeUnit.SECONDS.toNanos(1);
			return new Measured(this.latencies.getTotalCount(), this.errors.sum(),
					this.latencies.getTotalCount() / seconds, this.latencies.getValueAtPercentile(50),
					this.latencies.getValueAtPercentile(99));
		}

	}

	/**
	 * What a run of calls measured.
	 *
	 * @param answered the calls answered with success
	 * @param errors the other calls
	 * @param callsPerSecond the calls answered in a second
	 * @param median the latency of half the calls, in microseconds
	 * @param p99 the latency of 99 in 100 calls, in microseconds
	 */
	record Measured(long answered, long errors, double callsPerSecond, long median, long p99) {

	}

}
