package io.lentilslip.standin.tool;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.StatusCode;
import io.lentilslip.standin.http.Availability;
import io.lentilslip.standin.http.AvailabilityGate;
import io.lentilslip.standin.http.Json;
import io.lentilslip.standin.http.StandInServer;

/**
 * A plain service for tests and the demonstration that takes any path and counts how
 * often each request ran, so that a test can show that none ran twice. A request is known
 * by its header {@value #REQUEST_HEADER}, else by its header {@code Idempotency-Key},
 * else by the field {@code id} of its body, else by method and path. It counts at most
 * {@value #MAXIMUM_REQUESTS} different requests and refuses others without running them.
 * Safe for use by several threads.
 */
public final class ToolServiceStandIn implements AutoCloseable {

	/**
	 * The header that names a request.
	 */
	public static final String REQUEST_HEADER = "Tool-Request";

	private static final String KEY_HEADER = "Idempotency-Key";

	private static final int MAXIMUM_REQUESTS = 100_000;

	private static final int MAXIMUM_PLANNED = 10_000;

	private static final int MAXIMUM_HANGING = 10_000;

	private static final int PART_BYTES = 5;

	private static final int FULL_BYTES = 100;

	private final Object lock = new Object();

	private final Map<String, Integer> runs = new HashMap<>();

	private final Deque<ToolBehaviour> planned = new ArrayDeque<>();

	private final List<Run> hanging = new ArrayList<>();

	private final StandInServer server;

	private AvailabilityGate gate;

	private ToolBehaviour usual = new ToolBehaviour.Answer();

	private ToolServiceStandIn(int port) {
		this.server = StandInServer.start(port, this::install);
	}

	/**
	 * Starts a service that answers every request, on a free port.
	 * @return the stand-in, which listens already
	 */
	public static ToolServiceStandIn start() {
		return start(StandInServer.ANY_PORT);
	}

	/**
	 * Starts a service that answers every request.
	 * @param port the port, or {@link StandInServer#ANY_PORT}
	 * @return the stand-in, which listens already
	 */
	public static ToolServiceStandIn start(int port) {
		return new ToolServiceStandIn(port);
	}

	/**
	 * Returns the address that this stand-in listens on.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Changes how requests that arrive from now on are taken.
	 * @param availability the new state
	 */
	public void setAvailability(Availability availability) {
		this.gate.set(availability);
	}

	/**
	 * Changes what is done with requests for which nothing else is planned.
	 * @param behaviour the behaviour
	 */
	public void always(ToolBehaviour behaviour) {
		synchronized (this.lock) {
			this.usual = behaviour;
		}
	}

	/**
	 * Plans what is done with the next requests, after those already planned for.
	 * @param behaviour the behaviour
	 * @param count the number of requests
	 * @throws IllegalStateException if too much is planned
	 */
	public void next(ToolBehaviour behaviour, int count) {
		synchronized (this.lock) {
			if (count > MAXIMUM_PLANNED - this.planned.size()) {
				throw new IllegalStateException("plans reach no further than " + MAXIMUM_PLANNED + " requests");
			}
			for (int i = 0; i < count; i++) {
				this.planned.addLast(behaviour);
			}
		}
	}

	/**
	 * Returns how often each request ran.
	 * @return the number of runs by the name of the request
	 */
	public Map<String, Integer> runs() {
		synchronized (this.lock) {
			return Map.copyOf(this.runs);
		}
	}

	/**
	 * Returns the number of requests that ran and wait for an answer.
	 * @return the number of requests
	 */
	public int hanging() {
		synchronized (this.lock) {
			return this.hanging.size();
		}
	}

	/**
	 * Answers all requests that hang.
	 */
	public void releaseHanging() {
		List<Run> released;
		synchronized (this.lock) {
			released = List.copyOf(this.hanging);
			this.hanging.clear();
		}
		released.forEach(Run::answer);
	}

	@Override
	public void close() {
		this.server.close();
	}

	private void install(Jooby application, StandInServer running) {
		this.gate = AvailabilityGate.install(application, running);
		application.get("/runs", (context) -> Json.send(context, Map.of("runs", runs())));
		application.post("/control/behaviour", this::controlBehaviour);
		application.post("/control/release", (context) -> {
			releaseHanging();
			return context.send(StatusCode.NO_CONTENT);
		});
		for (String method : List.of("GET", "POST", "PUT", "PATCH", "DELETE")) {
			application.route(method, "/*", this.gate.before((context) -> take(context, running)));
		}
	}

	private Context controlBehaviour(Context context) {
		Optional<JsonNode> control = Json.read(context);
		Optional<ToolBehaviour> behaviour = control.flatMap(ToolBehaviour::parse);
		if (behaviour.isEmpty()) {
			return Json.sendError(context, StatusCode.BAD_REQUEST, "behaviour must be answer, delay (with delay_ms), "
					+ "hang, fail (with status), drop_before_run, drop_after_run or cut_answer");
		}
		JsonNode count = control.get().path("count");
		if (count.isMissingNode()) {
			always(behaviour.get());
		}
		else {
			next(behaviour.get(), count.asInt());
		}
		return context.send(StatusCode.NO_CONTENT);
	}

	private void take(Context context, StandInServer running) {
		ToolBehaviour behaviour = takeBehaviour();
		if (behaviour instanceof ToolBehaviour.DropBeforeRun) {
			running.reset(context);
			return;
		}
		Optional<Run> run = run(context);
		if (run.isEmpty()) {
			Json.sendError(context, StatusCode.SERVICE_UNAVAILABLE, "too many different requests");
			return;
		}
		end(run.get(), behaviour, running);
	}

	private void end(Run run, ToolBehaviour behaviour, StandInServer running) {
		switch (behaviour) {
			case ToolBehaviour.Answer answer -> run.answer();
			case ToolBehaviour.Delay delay -> running.after(delay.delay(), run::answer);
			case ToolBehaviour.Hang hang -> hang(run);
			case ToolBehaviour.Fail fail ->
				Json.sendError(run.context(), StatusCode.valueOf(fail.status()), "failed as told");
			case ToolBehaviour.DropBeforeRun drop -> running.reset(run.context());
			case ToolBehaviour.DropAfterRun drop -> running.reset(run.context());
			case ToolBehaviour.CutAnswer cut -> running.cutOff(run.context(), new byte[PART_BYTES], FULL_BYTES);
		}
	}

	private ToolBehaviour takeBehaviour() {
		synchronized (this.lock) {
			ToolBehaviour next = this.planned.pollFirst();
			return (next != null) ? next : this.usual;
		}
	}

	private Optional<Run> run(Context context) {
		String request = nameOf(context);
		synchronized (this.lock) {
			if (this.runs.size() >= MAXIMUM_REQUESTS && !this.runs.containsKey(request)) {
				return Optional.empty();
			}
			return Optional.of(new Run(context, request, this.runs.merge(request, 1, Integer::sum)));
		}
	}

	private void hang(Run run) {
		synchronized (this.lock) {
			if (this.hanging.size() < MAXIMUM_HANGING) {
				this.hanging.add(run);
				return;
			}
		}
		Json.sendError(run.context(), StatusCode.SERVER_ERROR, "too many requests hang");
	}

	private static String nameOf(Context context) {
		Optional<String> header = context.header(REQUEST_HEADER)
			.toOptional()
			.or(() -> context.header(KEY_HEADER).toOptional());
		return header
			.or(() -> Json.read(context)
				.map((body) -> body.path("id"))
				.filter(JsonNode::isTextual)
				.map(JsonNode::asText))
			.orElseGet(() -> context.getMethod() + " " + context.getRequestPath());
	}

	/**
	 * A request that ran.
	 *
	 * @param context the request
	 * @param request the name of the request
	 * @param count how often that request has run by now
	 */
	private record Run(Context context, String request, int count) {

		void answer() {
			Json.send(this.context, Map.of("request", this.request, "run", this.count));
		}

	}

}
