package io.lentilslip.client.http;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.Buffer;
import okio.BufferedSource;

/**
 * A sender that makes one attempt for each request and tells what is known of it. It
 * never sends a request twice, never follows a redirect and never uses a connection
 * again. Every stage it returns completes, and never exceptionally. Safe for use by
 * several threads.
 */
public final class HttpSender implements AutoCloseable {

	private static final int UNAVAILABLE = 503;

	private static final int NO_CONTENT = 204;

	private static final int NO_IDLE_CONNECTIONS = 0;

	private static final long READ_STEP = 8192;

	private final HttpLimits limits;

	private final ExecutorService executor;

	private final OkHttpClient client;

	private final Semaphore freeCalls;

	/**
	 * Creates a sender.
	 * @param limits the bounds within which requests are sent
	 */
	public HttpSender(HttpLimits limits) {
		this.limits = limits;
		this.executor = Executors.newVirtualThreadPerTaskExecutor();
		this.client = createClient(limits, this.executor);
		this.freeCalls = new Semaphore(limits.maximumCalls());
	}

	private static OkHttpClient createClient(HttpLimits limits, ExecutorService executor) {
		Dispatcher dispatcher = new Dispatcher(executor);
		dispatcher.setMaxRequests(limits.maximumCalls());
		dispatcher.setMaxRequestsPerHost(limits.maximumCalls());
		return new OkHttpClient.Builder().dispatcher(dispatcher)
			// On a connection used before, a further response to an earlier call
			// would be taken for the response to this one: the library matches
			// them by their order, and responses bear no id.
			.connectionPool(new ConnectionPool(NO_IDLE_CONNECTIONS, 1, TimeUnit.SECONDS))
			.protocols(List.of(Protocol.HTTP_1_1))
			.proxy(Proxy.NO_PROXY)
			.connectTimeout(limits.connectTimeout())
			.readTimeout(limits.readTimeout())
			.writeTimeout(limits.readTimeout())
			.callTimeout(limits.callTimeout())
			// The library would send a request again after a reset connection, though
			// the first may have run. Off, each attempt ends as a failure that we see.
			.retryOnConnectionFailure(false)
			// A redirect is a second request, to an address that nobody configured.
			.followRedirects(false)
			.followSslRedirects(false)
			.eventListenerFactory(TransmissionRecorder.factory())
			.addNetworkInterceptor(HttpSender::withholdImmediateRetry)
			.addNetworkInterceptor(new AnswerProgress())
			.addNetworkInterceptor(new AnswerValidation())
			.socketFactory(new BoundedSocket.Factory())
			.build();
	}

	/**
	 * Takes "Retry-After: 0" off an answer 503. The library answers that header by
	 * sending the request again at once, whatever its settings, and the service would see
	 * it twice. Without the header it hands the answer to us, and no other answer makes
	 * it repeat a request here: redirects and retries are off and no authenticator is
	 * set.
	 * @param chain the rest of the exchange
	 * @return the answer without the header
	 * @throws IOException if the exchange fails
	 */
	private static Response withholdImmediateRetry(Interceptor.Chain chain) throws IOException {
		Response response = chain.proceed(chain.request());
		if (response.code() != UNAVAILABLE) {
			return response;
		}
		if (RetryAfter.of(response).filter(Duration::isPositive).isPresent()) {
			return response;
		}
		return response.newBuilder().removeHeader(RetryAfter.HEADER).build();
	}

	/**
	 * Returns the client underneath, for answers that are read as a stream. A request
	 * must carry a {@link TransmissionRecorder} for its sending to be known.
	 * @return the client, closed together with this sender
	 */
	public OkHttpClient client() {
		return this.client;
	}

	/**
	 * Sends a request within the usual call timeout.
	 * @param request the request
	 * @return the outcome
	 */
	public CompletionStage<Exchange> send(Request.Builder request) {
		return start(request, this.limits.callTimeout()).outcome();
	}

	/**
	 * Starts to send a request.
	 * @param request the request
	 * @param callTimeout the longest time to the whole answer; zero for no bound
	 * @return the attempt under way
	 */
	public PendingExchange start(Request.Builder request, Duration callTimeout) {
		// Calls past the limit would wait in the library's queue, which has no bound.
		// Refused here, before anything is sent, the caller knows that they did not run.
		if (!this.freeCalls.tryAcquire()) {
			Exchange refused = new Exchange.Unanswered(Transmission.NEVER_SENT, FailureKind.NOT_STARTED,
					"too many calls under way");
			return new PendingExchange(CompletableFuture.completedFuture(refused), () -> {
			});
		}
		TransmissionRecorder recorder = TransmissionRecorder.attachTo(request);
		Call call = this.client.newCall(request.build());
		call.timeout().timeout(callTimeout.toNanos(), TimeUnit.NANOSECONDS);
		WholeAnswer answer = new WholeAnswer(call, recorder);
		call.enqueue(answer);
		return new PendingExchange(answer.outcome, answer::cancel);
	}

	/**
	 * Ends all calls under way, each with what is known of it, and closes all
	 * connections.
	 */
	@Override
	public void close() {
		this.client.dispatcher().cancelAll();
		this.executor.shutdown();
		this.client.connectionPool().evictAll();
	}

	/**
	 * A callback that reads the whole answer to one call and completes its outcome.
	 * Called once, by the thread that runs the call; cancelled by any thread.
	 */
	private final class WholeAnswer implements Callback {

		private final CompletableFuture<Exchange> outcome = new CompletableFuture<>();

		private final Call call;

		private final TransmissionRecorder recorder;

		private volatile boolean givenUp;

		WholeAnswer(Call call, TransmissionRecorder recorder) {
			this.call = call;
			this.recorder = recorder;
		}

		void cancel() {
			this.givenUp = true;
			this.call.cancel();
		}

		@Override
		public void onFailure(Call call, IOException ex) {
			complete(unanswered(kindOf(ex), describe(ex)));
		}

		@Override
		public void onResponse(Call call, Response response) {
			complete(read(response));
		}

		private Exchange read(Response response) {
			try (ResponseBody body = response.body()) {
				Optional<byte[]> bytes = readBounded(body.source());
				if (bytes.isEmpty()) {
					return unanswered(FailureKind.TOO_LONG,
							"answer longer than " + HttpSender.this.limits.maximumAnswerBytes() + " bytes");
				}
				// A reset is reported once. If a write has received the report, the end
				// of the
				// connection looks orderly to a read.
				if (this.recorder.writeFailed() && !isFramed(response)) {
					return unanswered(FailureKind.BROKEN_OFF,
							"answer cut off: no length, and the request was not written");
				}
				if (lacksContent(response, bytes.get())) {
					return unanswered(FailureKind.BROKEN_OFF, "answer cut off: no length and no content");
				}
				return new Exchange.Answered(response.code(), response.headers(), bytes.get());
			}
			catch (IOException ex) {
				return unanswered(kindOf(ex), "answer cut off: " + describe(ex));
			}
		}

		// A service that stops after the head of an answer without a length ends its
		// connection as one whose answer is empty.
		private static boolean lacksContent(Response response, byte[] content) {
			boolean expected = response.isSuccessful() && response.code() != NO_CONTENT
					&& !"HEAD".equals(response.request().method());
			return expected && content.length == 0 && !isFramed(response);
		}

		private static boolean isFramed(Response response) {
			return response.header("Content-Length") != null
					|| "chunked".equalsIgnoreCase(response.header("Transfer-Encoding"));
		}

		/**
		 * Reads a body in steps. Its stated length may be absent or false, and an endless
		 * body would fill the memory.
		 * @param source the body
		 * @return the whole body, or an empty result if it is too long
		 * @throws IOException if the body ends early
		 */
		private Optional<byte[]> readBounded(BufferedSource source) throws IOException {
			Buffer buffer = new Buffer();
			while (source.read(buffer, READ_STEP) != -1) {
				if (buffer.size() > HttpSender.this.limits.maximumAnswerBytes()) {
					return Optional.empty();
				}
			}
			return Optional.of(buffer.readByteArray());
		}

		/**
		 * Tells an end that this process chose from one that the other side brought
		 * about. A call that ran out of time fails as a closed socket now and then; taken
		 * for a crash of the upstream, it would count against an innocent request.
		 * @param ex the failure
		 * @return the way in which the attempt failed
		 */
		private FailureKind kindOf(IOException ex) {
			if (this.givenUp) {
				return FailureKind.CANCELLED;
			}
			if (ex instanceof InterruptedIOException || this.call.isCanceled()) {
				return FailureKind.TIMED_OUT;
			}
			if (ex instanceof InvalidAnswerException) {
				return FailureKind.UNREADABLE;
			}
			boolean sent = this.recorder.transmission() == Transmission.MAY_HAVE_BEEN_SENT;
			return sent ? FailureKind.BROKEN_OFF : FailureKind.NOT_CONNECTED;
		}

		private Exchange unanswered(FailureKind kind, String reason) {
			return new Exchange.Unanswered(this.recorder.transmission(), kind, reason);
		}

		private String describe(IOException ex) {
			return ex.getClass().getSimpleName() + ": " + ex.getMessage();
		}

		private void complete(Exchange exchange) {
			HttpSender.this.freeCalls.release();
			this.outcome.complete(exchange);
		}

	}

}
