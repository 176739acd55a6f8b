package io.lentilslip.client.service;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.lentilslip.client.http.Exchange;
import io.lentilslip.client.http.FailureKind;
import io.lentilslip.client.http.HttpLimits;
import io.lentilslip.client.http.HttpSender;
import io.lentilslip.client.http.PendingExchange;
import io.lentilslip.client.http.Transmission;
import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Header;
import io.lentilslip.core.call.ServiceRequest;
import io.lentilslip.core.configuration.Endpoint;
import okhttp3.Headers;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.RequestBody;

/**
 * A client of plain services. Each call is one attempt, never repeated, and its outcome
 * says whether the request may have run. Implementations are safe for use by several
 * threads.
 */
public interface PlainService extends AutoCloseable {

	/**
	 * Sends a request.
	 * @param upstream the address of the service
	 * @param message the request
	 * @param timeout how long to wait for the whole answer, at most an hour
	 * @return the call under way
	 */
	PendingCall call(Endpoint upstream, ServiceRequest message, Duration timeout);

	@Override
	void close();

	/**
	 * Plain services that are reached by HTTP. Safe for use by several threads.
	 */
	final class ForHttp implements PlainService {

		private static final Duration MAXIMUM_TIMEOUT = Duration.ofHours(1);

		private static final Set<String> METHODS = Set.of("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT");

		private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD");

		private static final Set<String> METHODS_THAT_NEED_BODY = Set.of("PATCH", "POST", "PUT");

		private final HttpSender sender;

		/**
		 * Creates a client.
		 * @param limits the bounds of a call; in place of their read and call timeouts
		 * each call has its own
		 */
		public ForHttp(HttpLimits limits) {
			// A service that works on a call is silent, which is no failure before the
			// call's own timeout.
			HttpLimits bounds = limits.withTimeouts(MAXIMUM_TIMEOUT, MAXIMUM_TIMEOUT);
			// The sender uses no connection again. On one used before, a service that
			// has died in the meantime looks like one that dies of the call: the bytes
			// leave and the connection is reset. A new connection is refused, and the
			// caller learns that the call did not run.
			this.sender = new HttpSender(bounds);
		}

		@Override
		public PendingCall call(Endpoint upstream, ServiceRequest message, Duration timeout) {
			Optional<String> fault = findFault(message);
			if (fault.isPresent()) {
				return refuse(fault.get());
			}
			HttpUrl url = HttpUrl.parse("http://" + upstream + message.path());
			if (url == null || !sendsUnchanged(url, message.path())) {
				return refuse("the path has characters or segments that must be escaped");
			}
			Request.Builder request = new Request.Builder().url(url).method(message.method(), requestBody(message));
			try {
				HopByHop.remove(message.headers())
					.forEach((header) -> request.addHeader(header.name(), header.value()));
			}
			catch (IllegalArgumentException ex) {
				return refuse("a header has characters that are not allowed");
			}
			PendingExchange pending = this.sender.start(request, timeout);
			return new PendingCall(pending.outcome().thenApply(ForHttp::outcome), pending::cancel);
		}

		@Override
		public void close() {
			this.sender.close();
		}

		private static PendingCall refuse(String reason) {
			return new PendingCall(CompletableFuture.completedFuture(new ServiceOutcome.Invalid(reason)), () -> {
			});
		}

		private static Optional<String> findFault(ServiceRequest message) {
			if (!METHODS.contains(message.method())) {
				return Optional.of("the method is not passed on");
			}
			// Right after the address, a text such as "@elsewhere" would change the host.
			if (!message.path().startsWith("/")) {
				return Optional.of("the path does not begin with a slash");
			}
			if (METHODS_WITHOUT_BODY.contains(message.method()) && message.body().length() > 0) {
				return Optional.of("a body is not passed on with this method");
			}
			return Optional.empty();
		}

		/**
		 * Returns whether the URL holds the path exactly as it was given. The library
		 * resolves segments such as ".."; a call that was allowed to be repeated by its
		 * path as given would then run as another call, which may not be.
		 * @param url the URL that would be sent
		 * @param path the path with its query, as given
		 * @return {@code true} if they are the same
		 */
		private static boolean sendsUnchanged(HttpUrl url, String path) {
			String query = url.encodedQuery();
			String sent = (query != null) ? url.encodedPath() + "?" + query : url.encodedPath();
			return sent.equals(path);
		}

		private static RequestBody requestBody(ServiceRequest message) {
			Body body = message.body();
			if (body.length() == 0 && !METHODS_THAT_NEED_BODY.contains(message.method())) {
				return null;
			}
			return RequestBody.create(body.toBytes(), null);
		}

		private static ServiceOutcome outcome(Exchange exchange) {
			return switch (exchange) {
				case Exchange.Answered answer -> new ServiceOutcome.Answered(toAnswer(answer));
				case Exchange.Unanswered unanswered -> outcome(unanswered);
			};
		}

		/**
		 * Tells a request that never left from one that may have run. Every failure after
		 * the first byte counts as "may have run", even a reset in the middle of the
		 * request: the service may have acted on what it had, and told otherwise the
		 * caller would send a call that may not be repeated again.
		 * @param unanswered the failed attempt
		 * @return its outcome
		 */
		private static ServiceOutcome outcome(Exchange.Unanswered unanswered) {
			if (unanswered.transmission() == Transmission.NEVER_SENT) {
				return new ServiceOutcome.NotSent(unanswered.reason());
			}
			return new ServiceOutcome.Lost(unanswered.reason(), unanswered.kind() == FailureKind.BROKEN_OFF);
		}

		private static CallResponse.FromService toAnswer(Exchange.Answered answer) {
			Headers received = answer.headers();
			List<Header> headers = new ArrayList<>(received.size());
			for (int i = 0; i < received.size(); i++) {
				headers.add(new Header(received.name(i), received.value(i)));
			}
			return new CallResponse.FromService(answer.status(), HopByHop.remove(headers), Body.of(answer.body()));
		}

	}

}
