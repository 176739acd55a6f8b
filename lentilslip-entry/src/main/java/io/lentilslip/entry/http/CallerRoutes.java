package io.lentilslip.entry.http;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.Header;
import io.lentilslip.core.call.ServiceRequest;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.ModelPolicy;
import io.lentilslip.core.entry.EntryEvent;
import io.lentilslip.core.entry.Payload;
import io.lentilslip.core.entry.Ticket;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.ServiceName;
import io.vavr.control.Either;

/**
 * The routes of the callers' interface. Safe for use by several threads.
 */
final class CallerRoutes implements HttpPort.Routes {

	private static final String COMPLETIONS = "/v1/chat/completions";

	private static final String MODELS = "/v1/models";

	private static final String PROGRAMS = "/v1/programs/";

	private static final String SERVICES = "/v1/services/";

	private static final List<String> SERVICE_METHODS = List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE",
			"OPTIONS");

	private final CallerDesk desk;

	private final OpenCalls calls;

	/**
	 * Creates the routes.
	 * @param desk what they need of the entry
	 * @param calls the requests that wait for their answers
	 */
	CallerRoutes(CallerDesk desk, OpenCalls calls) {
		this.desk = desk;
		this.calls = calls;
	}

	@Override
	public void install(Jooby application, HttpPort port) {
		application.post(COMPLETIONS, (context) -> handle(port, context, this::complete));
		application.get(MODELS, (context) -> handle(port, context, this::listModels));
		application.get(PROGRAMS + "*", (context) -> handle(port, context, this::showProgram));
		application.delete(PROGRAMS + "*", (context) -> handle(port, context, this::endProgram));
		for (String method : SERVICE_METHODS) {
			application.route(method, SERVICES + "*", (context) -> handle(port, context, this::callService));
		}
	}

	// Returns the context, by which the library knows that the answer comes by itself.
	private static Context handle(HttpPort port, Context context, Route route) {
		HttpExchange exchange = port.exchange(context);
		route.handle(exchange).ifPresent((error) -> exchange.answer(error.toAnswer()));
		return context;
	}

	private Optional<HttpError> complete(HttpExchange exchange) {
		return CallHeaders.read(exchange)
			.flatMap((headers) -> ChatRequest.read(exchange.body(), headers.mode())
				.map((request) -> submitChat(exchange, headers, request)))
			.fold(Optional::of, (refusal) -> refusal);
	}

	private Optional<HttpError> submitChat(HttpExchange exchange, CallHeaders headers, ChatRequest request) {
		Ticket ticket = this.calls.nextTicket();
		Instant now = this.desk.clock().instant();
		String id = "chatcmpl-" + this.desk.incarnation() + "-" + ticket.value();
		ChatShape shape = new ChatShape(id, now, request.payload().model(), headers.program());
		PendingCall call = request.payload().streamed()
				? new PendingCall.ForStreamedChat(exchange, shape, streamHeaders(headers), request.usageIncluded())
				: new PendingCall.ForWholeChat(exchange, shape);
		return submit(ticket, call, new EntryEvent.CallArrived(ticket, headers.submission(request.payload()), now,
				this.desk.seeds().getAsLong()));
	}

	private static List<Header> streamHeaders(CallHeaders headers) {
		List<Header> all = new ArrayList<>();
		headers.program().ifPresent((name) -> all.add(new Header(CallHeaders.PROGRAM, name.value())));
		headers.number().ifPresent((number) -> all.add(new Header(CallHeaders.CALL, number.toString())));
		return all;
	}

	private Optional<HttpError> callService(HttpExchange exchange) {
		String rest = exchange.target().substring(SERVICES.length());
		int end = endOfFirstSegment(rest);
		Optional<ServiceName> service = ServiceName.parse(rest.substring(0, end));
		Optional<ServicePath> path = ServicePath
			.parse(rest.startsWith("/", end) ? rest.substring(end) : "/" + rest.substring(end));
		if (service.isEmpty()) {
			return Optional.of(HttpError.invalid("the path has to name a service"));
		}
		if (path.isEmpty()) {
			return Optional.of(HttpError.invalid("the path is ambiguous or malformed"));
		}
		return CallHeaders.read(exchange)
			.fold(Optional::of, (headers) -> submitService(exchange, headers, service.get(), path.get()));
	}

	private static int endOfFirstSegment(String rest) {
		int end = 0;
		while (end < rest.length() && rest.charAt(end) != '/' && rest.charAt(end) != '?') {
			end++;
		}
		return end;
	}

	private Optional<HttpError> submitService(HttpExchange exchange, CallHeaders headers, ServiceName service,
			ServicePath path) {
		Ticket ticket = this.calls.nextTicket();
		ServiceRequest message = new ServiceRequest(exchange.method(), path.value(),
				ServiceHeaders.toService(exchange.headers()), exchange.body());
		Payload payload = new Payload.ForService(service, message);
		return submit(ticket, new PendingCall.ForService(exchange, headers.program()), new EntryEvent.CallArrived(
				ticket, headers.submission(payload), this.desk.clock().instant(), this.desk.seeds().getAsLong()));
	}

	private Optional<HttpError> showProgram(HttpExchange exchange) {
		return withProgram(exchange, (ticket, caller, program) -> new EntryEvent.ProgramStateRequested(ticket, caller,
				program, this.desk.clock().instant()));
	}

	private Optional<HttpError> endProgram(HttpExchange exchange) {
		return withProgram(exchange, (ticket, caller, program) -> new EntryEvent.ProgramEndRequested(ticket, caller,
				program, this.desk.clock().instant()));
	}

	private Optional<HttpError> withProgram(HttpExchange exchange, ProgramEvent event) {
		Either<HttpError, Digest> caller = CallHeaders.caller(exchange);
		if (caller.isLeft()) {
			return Optional.of(caller.getLeft());
		}
		String path = exchange.target().split("\\?", 2)[0].substring(PROGRAMS.length());
		Optional<ProgramName> program = ServicePath.decode(path).flatMap(ProgramName::parse);
		if (program.isEmpty()) {
			return Optional.of(HttpError.invalid("the path has to end with a program's name"));
		}
		Ticket ticket = this.calls.nextTicket();
		return submit(ticket, new PendingCall.ForProgram(exchange, program.get()),
				event.of(ticket, caller.get(), program.get()));
	}

	private Optional<HttpError> submit(Ticket ticket, PendingCall call, EntryEvent event) {
		if (!this.calls.add(ticket, call)) {
			return Optional.of(HttpError.busy("this entry has as many calls open as it may"));
		}
		call.exchange().onAbandoned(() -> abandon(ticket));
		if (!this.desk.submissions().submit(event)) {
			this.calls.remove(ticket);
			return Optional.of(HttpError.busy("this entry has more to do than it can"));
		}
		return Optional.empty();
	}

	// A call that has its outcome already needs no end.
	private void abandon(Ticket ticket) {
		if (this.calls.remove(ticket).isPresent()) {
			this.desk.submissions().post(new EntryEvent.CallerDisconnected(ticket, this.desk.clock().instant()));
		}
	}

	private Optional<HttpError> listModels(HttpExchange exchange) {
		Either<HttpError, Digest> caller = CallHeaders.caller(exchange);
		if (caller.isLeft()) {
			return Optional.of(caller.getLeft());
		}
		Optional<Configuration> configuration = this.desk.configuration().get();
		if (configuration.isEmpty()) {
			return refuse(FailureCause.NOT_READY, "this entry has no configuration yet");
		}
		if (configuration.get().caller(caller.get()).isEmpty()) {
			return refuse(FailureCause.UNAUTHORIZED, "the key is unknown");
		}
		exchange.answer(HttpAnswer.ofJson(HttpAnswer.OK, List.of(), models(configuration.get())));
		return Optional.empty();
	}

	private static Optional<HttpError> refuse(FailureCause cause, String message) {
		return Optional.of(HttpError.of(CallFailure.notRun(cause, message)));
	}

	private static ObjectNode models(Configuration configuration) {
		ObjectNode root = Json.object();
		root.put("object", "list");
		ArrayNode data = root.putArray("data");
		for (ModelPolicy model : configuration.models()) {
			ObjectNode entry = data.addObject();
			entry.put("id", model.name().value());
			entry.put("object", "model");
			entry.put("created", 0);
			entry.put("owned_by", configuration.site().value());
		}
		return root;
	}

	/**
	 * What a route does with a request.
	 */
	@FunctionalInterface
	private interface Route {

		/**
		 * Handles a request.
		 * @param exchange the request
		 * @return the error to answer with, or an empty result if the answer is given or
		 * follows
		 */
		Optional<HttpError> handle(HttpExchange exchange);

	}

	/**
	 * A way to make an event of a request that concerns a program.
	 */
	@FunctionalInterface
	private interface ProgramEvent {

		/**
		 * Returns the event.
		 * @param ticket the number of the request
		 * @param caller the digest of the key that the caller showed
		 * @param program the program
		 * @return the event
		 */
		EntryEvent of(Ticket ticket, Digest caller, ProgramName program);

	}

}
