package io.lentilslip.sidecar.admin;

import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.sidecar.SidecarStatus;
import io.lentilslip.telemetry.Metrics;

/**
 * The port by which operators see a sidecar: {@code /metrics}, {@code /health} and
 * {@code /status}. It only reads. Safe for use by several threads.
 */
public final class AdminServer implements AutoCloseable {

	private static final int THREADS = 1;

	private static final int MAXIMUM_REQUEST_BYTES = 16 * 1024;

	private static final int ATTEMPTS = 5;

	private static final long NOT_CONFIGURED = -1;

	private final NettyServer server;

	private AdminServer(NettyServer server) {
		this.server = server;
	}

	/**
	 * Opens the port.
	 * @param endpoint the address to listen on, with port 0 for a free one
	 * @param metrics what {@code /metrics} shows
	 * @param status the state at the moment of the question
	 * @return the server, which listens already
	 */
	public static AdminServer open(Endpoint endpoint, Metrics metrics, Supplier<SidecarStatus> status) {
		// The library looks for a free port and binds it later; another process may take
		// it in between, so that the next one is tried.
		for (int attempt = 1; endpoint.port() == 0 && attempt < ATTEMPTS; attempt++) {
			try {
				return bind(endpoint, metrics, status);
			}
			catch (RuntimeException ex) {
				continue;
			}
		}
		return bind(endpoint, metrics, status);
	}

	private static AdminServer bind(Endpoint endpoint, Metrics metrics, Supplier<SidecarStatus> status) {
		ServerOptions options = new ServerOptions();
		options.setHost(endpoint.ip());
		options.setPort(endpoint.port());
		options.setIoThreads(THREADS);
		options.setWorkerThreads(THREADS);
		options.setMaxRequestSize(MAXIMUM_REQUEST_BYTES);
		NettyServer server = new NettyServer();
		server.setOptions(options);
		server.start(application(metrics, status));
		return new AdminServer(server);
	}

	private static Jooby application(Metrics metrics, Supplier<SidecarStatus> status) {
		Jooby application = new Jooby();
		application.setExecutionMode(ExecutionMode.EVENT_LOOP);
		application.get("/metrics",
				(context) -> context.setResponseType(Metrics.CONTENT_TYPE).send(metrics.exposition()));
		application.get("/health", (context) -> health(context, status.get()));
		application.get("/status", (context) -> json(context, toJson(status.get())));
		return application;
	}

	private static Context health(Context context, SidecarStatus status) {
		boolean ready = status.configurationVersion() != NOT_CONFIGURED && status.upstreamUp() && !status.stopping();
		context.setResponseCode(ready ? StatusCode.OK : StatusCode.SERVICE_UNAVAILABLE);
		context.setResponseHeader("Cache-Control", "no-store");
		return json(context, JsonNodeFactory.instance.objectNode().put("status", label(status)));
	}

	private static String label(SidecarStatus status) {
		if (status.stopping()) {
			return "stopping";
		}
		if (status.configurationVersion() == NOT_CONFIGURED) {
			return "waiting";
		}
		return status.upstreamUp() ? "ready" : "upstream_down";
	}

	private static ObjectNode toJson(SidecarStatus status) {
		ObjectNode root = JsonNodeFactory.instance.objectNode();
		root.put("role", "sidecar");
		root.put("vm", status.process().vm().value());
		root.put("incarnation", status.process().incarnation().toString());
		root.put("status", label(status));
		root.put("configuration_version", status.configurationVersion());
		root.put("log_offset", status.logOffset());
		root.put("upstream_up", status.upstreamUp());
		root.put("entries", status.entries());
		root.put("queued", status.queued());
		root.put("running", status.running());
		root.put("limit", status.limit());
		root.put("homes", status.homes());
		root.put("pending_turns", status.pendingTurns());
		root.put("held_sessions", status.heldSessions());
		root.put("held_tokens", status.heldTokens());
		return root;
	}

	private static Context json(Context context, ObjectNode body) {
		return context.setResponseType(MediaType.json).send(body.toString());
	}

	/**
	 * Returns the port that this server listens on.
	 * @return the port in use
	 */
	public int port() {
		return this.server.getOptions().getPort();
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
