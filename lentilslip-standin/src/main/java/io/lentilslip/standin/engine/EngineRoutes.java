package io.lentilslip.standin.engine;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * The engine's interface over HTTP. Immutable and safe for use by several threads.
 */
final class EngineRoutes {

	private static final String REQUEST_ID = "X-Request-Id";

	private static final int MAXIMUM_ID_LENGTH = 256;

	private static final int MAXIMUM_EVENTS = 1_000;

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private final EngineLife life;

	private final EngineSettings settings;

	private final EngineCounters counters;

	/**
	 * Creates the interface of one life of an engine.
	 * @param life the engine
	 * @param settings what the engine was told
	 * @param counters the counts over all lives
	 */
	EngineRoutes(EngineLife life, EngineSettings settings, EngineCounters counters) {
		this.life = life;
		this.settings = settings;
		this.counters = counters;
	}

	/**
	 * Handles a request.
	 * @param request the request, valid only during this call
	 * @param exchange where the response goes
	 */
	void handle(FullHttpRequest request, EngineExchange exchange) {
		try {
			route(request, exchange);
		}
		catch (RejectedRequestException ex) {
			exchange.fail(ex);
		}
	}

	private void route(FullHttpRequest request, EngineExchange exchange) {
		if (!request.decoderResult().isSuccess()) {
			throw RejectedRequestException.invalid("the request is not valid HTTP");
		}
		QueryStringDecoder uri = new QueryStringDecoder(request.uri());
		switch (request.method() + " " + uri.path()) {
			case "POST /v1/chat/completions" -> chat(request, exchange);
			case "GET /v1/models" -> answer(this.life.orders(EngineJson::models), exchange);
			case "POST /v1/kv/export" -> exportSession(request, exchange);
			case "POST /v1/kv/import" -> importSession(request, uri, exchange);
			case "POST /v1/kv/release" -> release(request, exchange);
			case "GET /v1/kv" -> answer(this.life.memory().thenApply(this::memory), exchange);
			case "GET /v1/load" -> answer(this.life.load().thenApply(EngineJson::load), exchange);
			case "GET /v1/cache/events" -> cacheEvents(uri, exchange);
			case "POST /v1/orders" -> order(request, exchange);
			case "GET /v1/instance" -> exchange.json(OK, instance());
			case "GET /runs" -> exchange.json(OK, EngineJson.runs(this.counters));
			default -> routeToRequest(request, uri, exchange);
		}
	}

	private void routeToRequest(FullHttpRequest request, QueryStringDecoder uri, EngineExchange exchange) {
		List<String> segments = List.of(uri.path().split("/"));
		boolean known = segments.size() == 5 && uri.path().startsWith("/v1/requests/");
		switch (known ? request.method() + " " + segments.get(4) : "") {
			case "POST cancel" ->
				answer(this.life.cancel(segments.get(3)).thenApply(EngineRoutes::cancelled), exchange);
			case "GET stream" -> resume(segments.get(3), uri, exchange);
			default -> throw new RejectedRequestException(404, "not_found", "there is nothing at this path");
		}
	}

	private void chat(FullHttpRequest request, EngineExchange exchange) {
		ChatRequest chat = ChatRequest.read(body(request));
		String id = Optional.ofNullable(request.headers().get(REQUEST_ID))
			.orElseGet(() -> UUID.randomUUID().toString());
		if (id.isEmpty() || id.length() > MAXIMUM_ID_LENGTH) {
			throw RejectedRequestException.invalid(REQUEST_ID + " must have 1 to " + MAXIMUM_ID_LENGTH + " characters");
		}
		AnswerWriter writer = AnswerWriter.of(chat.streamed(), exchange);
		whenDone(this.life.submit(id, chat, writer), exchange,
				(kept) -> exchange.onDisconnect(() -> this.life.disconnected(kept, writer)));
	}

	private void resume(String id, QueryStringDecoder uri, EngineExchange exchange) {
		AnswerWriter writer = AnswerWriter.of(true, exchange);
		int from = Math.clamp(number(uri, "from_token", 0), 0, Integer.MAX_VALUE);
		whenDone(this.life.resume(id, from, writer), exchange,
				(kept) -> exchange.onDisconnect(() -> this.life.unsubscribe(kept, writer)));
	}

	private static ObjectNode cancelled(BatchingModel.Cancellation cancellation) {
		if (cancellation == BatchingModel.Cancellation.UNKNOWN) {
			throw new RejectedRequestException(404, "request_not_found", "the request neither waits nor runs");
		}
		return EngineJson.MAPPER.createObjectNode()
			.put("cancelled", true)
			.put("started", cancellation == BatchingModel.Cancellation.STOPPED);
	}

	private void exportSession(FullHttpRequest request, EngineExchange exchange) {
		whenDone(this.life.exportSession(session(request)), exchange, exchange::octets);
	}

	private void importSession(FullHttpRequest request, QueryStringDecoder uri, EngineExchange exchange) {
		String session = parameter(uri, "session").orElse("");
		Optional<Long> lease = parameter(uri, "lease_ms").map((text) -> number(uri, "lease_ms", 0));
		ModelRequest.Pin pin = ChatRequest.pin(session, lease);
		BlockChain chain = KvHandle.read(ByteBufUtil.getBytes(request.content()));
		answer(this.life.importSession(pin, chain)
			.thenApply((tokens) -> EngineJson.MAPPER.createObjectNode().put("tokens", tokens)), exchange);
	}

	private void release(FullHttpRequest request, EngineExchange exchange) {
		answer(this.life.release(session(request))
			.thenApply((released) -> EngineJson.MAPPER.createObjectNode().put("released", released)), exchange);
	}

	private ObjectNode memory(EngineLife.Memory memory) {
		return EngineJson.memory(memory, this.settings.limits().memoryTokens());
	}

	private void cacheEvents(QueryStringDecoder uri, EngineExchange exchange) {
		int limit = Math.clamp(number(uri, "limit", MAXIMUM_EVENTS), 1, MAXIMUM_EVENTS);
		answer(this.life.cacheEvents(number(uri, "from", 1), limit)
			.thenApply((page) -> EngineJson.cacheEvents(page, this.life.instance())), exchange);
	}

	private void order(FullHttpRequest request, EngineExchange exchange) {
		JsonNode order = body(request);
		whenDone(this.life.order(order), exchange, (applied) -> {
			if (applied) {
				exchange.json(OK, EngineJson.MAPPER.createObjectNode().put("applied", true));
				return;
			}
			whenDone(this.life.orders(OrderBook::highestFencing), exchange,
					(highest) -> exchange.json(CONFLICT, EngineJson.oldFencing(highest)));
		});
	}

	private ObjectNode instance() {
		return EngineJson.MAPPER.createObjectNode().put("instance", this.life.instance());
	}

	private static String session(FullHttpRequest request) {
		return ChatRequest.pin(body(request).path("session").asText(), Optional.empty()).session();
	}

	private static JsonNode body(FullHttpRequest request) {
		try {
			JsonNode body = EngineJson.MAPPER.readTree(ByteBufUtil.getBytes(request.content()));
			if (body.isObject()) {
				return body;
			}
			throw RejectedRequestException.invalid("the body must be a JSON object");
		}
		catch (IOException ex) {
			throw RejectedRequestException.invalid("the body must be JSON");
		}
	}

	private static Optional<String> parameter(QueryStringDecoder uri, String name) {
		return uri.parameters().getOrDefault(name, List.of()).stream().findFirst();
	}

	private static long number(QueryStringDecoder uri, String name, long preset) {
		try {
			return parameter(uri, name).map(Long::parseLong).orElse(preset);
		}
		catch (NumberFormatException ex) {
			throw RejectedRequestException.invalid(name + " must be a whole number");
		}
	}

	private static void answer(CompletableFuture<ObjectNode> future, EngineExchange exchange) {
		whenDone(future, exchange, (body) -> exchange.json(OK, body));
	}

	private static <T> void whenDone(CompletableFuture<T> future, EngineExchange exchange, Consumer<T> action) {
		future.whenComplete((result, failure) -> {
			if (failure != null) {
				exchange.fail(failure);
				return;
			}
			action.accept(result);
		});
	}

}
