package io.lentilslip.entry.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;
import io.lentilslip.core.call.Header;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.entry.EntryStatus;
import io.lentilslip.telemetry.Metrics;

/**
 * The port by which operators and the balancer see an entry: {@code /metrics},
 * {@code /health} and {@code /status}. Safe for use by several threads.
 */
public final class AdminPort implements AutoCloseable {

	private static final int UNAVAILABLE = 503;

	private static final HttpLimits LIMITS = new HttpLimits(1 << 10, 16 << 10, 1 << 20, 64, 64, 1 << 20,
			Duration.ofSeconds(10), Duration.ofSeconds(10), Duration.ofSeconds(75));

	private final HttpPort port;

	private AdminPort(HttpPort port) {
		this.port = port;
	}

	/**
	 * Opens the port.
	 * @param endpoint the address to listen on, with port 0 for a free one
	 * @param metrics what {@code /metrics} shows
	 * @param view the state of the entry at the moment of the question
	 * @return the port, which listens already
	 */
	public static AdminPort open(Endpoint endpoint, Metrics metrics, Supplier<AdminView> view) {
		return new AdminPort(HttpPort.open(endpoint, () -> LIMITS, 1, (application, port) -> {
			route(application, port, "/metrics", () -> HttpAnswer.ofText(Metrics.CONTENT_TYPE, metrics.exposition()));
			route(application, port, "/health", () -> health(view.get()));
			route(application, port, "/status", () -> HttpAnswer.ofJson(HttpAnswer.OK, List.of(), toJson(view.get())));
		}));
	}

	private static void route(Jooby application, HttpPort port, String path, Supplier<HttpAnswer> answer) {
		application.get(path, (context) -> answer(port, context, answer));
	}

	private static Context answer(HttpPort port, Context context, Supplier<HttpAnswer> answer) {
		port.exchange(context).answer(answer.get());
		return context;
	}

	private static HttpAnswer health(AdminView view) {
		boolean ready = view.readiness() == AdminView.Readiness.READY;
		ObjectNode root = Json.object().put("status", view.readiness().label());
		return HttpAnswer.ofJson(ready ? HttpAnswer.OK : UNAVAILABLE, List.of(new Header("Cache-Control", "no-store")),
				root);
	}

	private static ObjectNode toJson(AdminView view) {
		EntryStatus status = view.status();
		ObjectNode root = Json.object();
		root.put("role", "entry");
		root.put("vm", status.process().vm().value());
		root.put("incarnation", status.process().incarnation().toString());
		root.put("zone", view.zone().value());
		root.put("status", view.readiness().label());
		root.put("configuration_version", status.configurationVersion());
		root.put("log_offset", status.logOffset());
		root.put("log_reachable", status.logReachable());
		root.put("calls", status.calls());
		root.put("programs", status.programs());
		root.put("open_calls", view.openCalls());
		root.put("connections", view.connections());
		ObjectNode links = root.putObject("links");
		links.put("up", status.upstreams().stream().filter(EntryStatus.Upstream::linked).count());
		links.put("known", status.upstreams().size());
		ArrayNode upstreams = root.putArray("upstreams");
		status.upstreams().forEach((upstream) -> upstreams.add(toJson(upstream)));
		ArrayNode groups = root.putArray("groups");
		status.groups().forEach((group) -> groups.add(toJson(group)));
		return root;
	}

	private static ObjectNode toJson(EntryStatus.Group group) {
		ObjectNode node = Json.object();
		node.put("group", group.group().value());
		node.put("share", group.share());
		node.put("used_tokens", group.used());
		group.limit().ifPresent((limit) -> node.put("budget_tokens", limit));
		return node;
	}

	private static ObjectNode toJson(EntryStatus.Upstream upstream) {
		ObjectNode node = Json.object();
		node.put("vm", upstream.vm().value());
		node.put("zone", upstream.zone().value());
		node.put("linked", upstream.linked());
		node.put("leaving", upstream.leaving());
		node.put("queued", upstream.queued());
		node.put("running", upstream.running());
		node.put("limit", upstream.limit());
		return node;
	}

	/**
	 * Returns the address that this port listens on.
	 * @return the address with the port in use
	 */
	public InetSocketAddress address() {
		return this.port.address();
	}

	@Override
	public void close() {
		this.port.close();
	}

}
