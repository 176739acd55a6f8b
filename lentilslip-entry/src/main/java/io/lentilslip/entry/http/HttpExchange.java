package io.lentilslip.entry.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.jooby.Context;
import io.jooby.Sender;
import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.Header;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * One request with its body and the way to answer it: once whole, or as a stream of
 * server-sent events. An answer to a caller who has gone is dropped. Confined to the
 * event loop of its connection, but for {@link #execute(Runnable)}.
 */
final class HttpExchange {

	private static final Runnable NOTHING = () -> {
	};

	private final Connection connection;

	private final String method;

	private final String target;

	private final HttpHeaders headers;

	private final Body body;

	private Optional<Context> context = Optional.empty();

	private Optional<Sender> sender = Optional.empty();

	private Runnable abandonment = NOTHING;

	private boolean ended;

	/**
	 * Creates an exchange that has no answer yet.
	 * @param connection the connection that the request came by
	 * @param method the method of the request
	 * @param target the target of the request, as sent
	 * @param headers the headers of the request
	 * @param body the body of the request
	 */
	HttpExchange(Connection connection, String method, String target, HttpHeaders headers, Body body) {
		this.connection = connection;
		this.method = method;
		this.target = target;
		this.headers = headers;
		this.body = body;
	}

	/**
	 * Notes the context by which the answer leaves.
	 * @param value the context that the HTTP library made for the request
	 * @return this exchange
	 */
	HttpExchange answeredBy(Context value) {
		this.context = Optional.of(value);
		return this;
	}

	/**
	 * Returns the target of the request, as sent: path and query.
	 * @return the target
	 */
	String target() {
		return this.target;
	}

	/**
	 * Returns all headers of the request in their order.
	 * @return the headers
	 */
	List<Header> headers() {
		return this.headers.entries().stream().map((header) -> new Header(header.getKey(), header.getValue())).toList();
	}

	/**
	 * Returns the values of a header.
	 * @param name the name in any case
	 * @return the values in their order
	 */
	List<String> header(String name) {
		return this.headers.getAll(name);
	}

	/**
	 * Returns the method of the request.
	 * @return the method
	 */
	String method() {
		return this.method;
	}

	/**
	 * Returns the body of the request.
	 * @return the body
	 */
	Body body() {
		return this.body;
	}

	/**
	 * Runs a task on the event loop of the connection, after all tasks given before.
	 * @param task the task, which must not block
	 */
	void execute(Runnable task) {
		this.connection.execute(task);
	}

	/**
	 * Notes what to do if the caller goes before it has its whole answer.
	 * @param task what to do, once
	 */
	void onAbandoned(Runnable task) {
		this.abandonment = task;
	}

	/**
	 * Gives a whole answer.
	 * @param answer the answer
	 */
	void answer(HttpAnswer answer) {
		if (this.ended || this.context.isEmpty()) {
			return;
		}
		this.ended = true;
		this.connection.addToNextAnswer(answer.headers());
		this.context.get().setResponseCode(answer.status());
		this.context.get().send(answer.body().toBytes());
		this.connection.flush();
	}

	/**
	 * Begins a stream of server-sent events.
	 * @param extra the headers besides those of every stream
	 */
	void beginStream(List<Header> extra) {
		if (this.ended || this.context.isEmpty() || this.sender.isPresent()) {
			return;
		}
		this.connection.addToNextAnswer(extra);
		Map.of("Content-Type", "text/event-stream", "Cache-Control", "no-cache", "X-Accel-Buffering", "no")
			.forEach(this.context.get()::setResponseHeader);
		this.sender = Optional.of(this.context.get().responseSender());
	}

	/**
	 * Returns whether a stream has begun.
	 * @return whether a stream has begun
	 */
	boolean isStreaming() {
		return this.sender.isPresent();
	}

	/**
	 * Sends an event of a stream that has begun.
	 * @param data the text of the event, on one line
	 */
	void sendEvent(String data) {
		if (this.ended || this.sender.isEmpty()) {
			return;
		}
		byte[] bytes = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
		this.sender.get().write(bytes, (caller, failure) -> {
		});
		this.connection.requireReader();
	}

	/**
	 * Ends a stream that has begun.
	 */
	void endStream() {
		if (this.ended || this.sender.isEmpty()) {
			return;
		}
		this.ended = true;
		this.sender.get().close();
	}

	/**
	 * Notes that the caller has gone.
	 */
	void abandon() {
		boolean wasEnded = this.ended;
		this.ended = true;
		if (!wasEnded) {
			this.abandonment.run();
		}
	}

}
