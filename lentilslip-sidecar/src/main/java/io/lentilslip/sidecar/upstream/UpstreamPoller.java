package io.lentilslip.sidecar.upstream;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import io.lentilslip.client.engine.Engine;
import io.lentilslip.client.engine.EngineFailure;
import io.lentilslip.client.engine.EngineLoad;
import io.lentilslip.client.engine.HeldMemory;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.configuration.UpstreamKind;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.sidecar.SidecarEvent;
import io.vavr.control.Either;

/**
 * Asks the upstream at an interval how it is. An engine tells its load; plain services
 * have nothing to ask in common, so a connection stands for their answer. One question is
 * under way at a time. Safe for use by several threads.
 */
final class UpstreamPoller implements AutoCloseable {

	private static final Duration INTERVAL = Duration.ofMillis(500);

	private static final int CONNECT_MILLIS = 1000;

	// A busy engine answers a question late. What waits in the sidecar's queue is refused
	// once the upstream counts as gone, so only a refused connection counts at once.
	private static final int FAILURES_BEFORE_GONE = 3;

	private final Engine engine;

	private final Endpoint address;

	private final Supplier<Optional<UpstreamKind>> kind;

	private final UpstreamReports reports;

	private final Supplier<Instant> clock;

	private final Executor executor;

	private final ScheduledExecutorService timer;

	private final AtomicBoolean asking = new AtomicBoolean();

	private int failures;

	/**
	 * Creates a poller that has not started.
	 * @param engine the client of the engine
	 * @param address where the upstream is
	 * @param kind what the configuration says that the upstream is
	 * @param reports where events go
	 * @param clock the clock
	 * @param executor what runs questions that block
	 * @param timer what starts the questions; ended by {@link #close()}
	 */
	UpstreamPoller(Engine engine, Endpoint address, Supplier<Optional<UpstreamKind>> kind, UpstreamReports reports,
			Supplier<Instant> clock, Executor executor, ScheduledExecutorService timer) {
		this.engine = engine;
		this.address = address;
		this.kind = kind;
		this.reports = reports;
		this.clock = clock;
		this.executor = executor;
		this.timer = timer;
	}

	/**
	 * Starts to ask.
	 */
	void start() {
		this.timer.scheduleWithFixedDelay(this::ask, 0, INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
	}

	private void ask() {
		Optional<UpstreamKind> known = this.kind.get();
		if (known.isEmpty() || !this.asking.compareAndSet(false, true)) {
			return;
		}
		switch (known.get()) {
			case UpstreamKind.ForEngine engineKind -> askEngine();
			case UpstreamKind.ForService serviceKind -> this.executor.execute(this::askServices);
		}
	}

	private void askEngine() {
		CompletionStage<Either<EngineFailure, Report>> report = this.engine.instance()
			.thenCombine(this.engine.load(), UpstreamPoller::join)
			.thenCombine(this.engine.held(), (joined, held) -> joined.flatMap((part) -> held.map(part::with)));
		report.whenComplete((answer, failure) -> {
			if (answer != null && answer.isRight()) {
				tell(answer.get());
			}
			else {
				fail(answer != null && answer.getLeft().cause() instanceof EngineFailure.Cause.Refused);
			}
			this.asking.set(false);
		});
	}

	private static Either<EngineFailure, Report> join(Either<EngineFailure, Incarnation> instance,
			Either<EngineFailure, EngineLoad> load) {
		return instance
			.flatMap((life) -> load.map((told) -> new Report(life.value(), told.running(), told.waiting(), 0)));
	}

	private void askServices() {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(this.address.ip(), this.address.port()), CONNECT_MILLIS);
			tell(new Report(0, 0, 0, 0));
		}
		catch (IOException ex) {
			fail(true);
		}
		finally {
			this.asking.set(false);
		}
	}

	private synchronized void tell(Report report) {
		this.failures = 0;
		this.reports.post(new SidecarEvent.UpstreamLoadReceived(report.instance(), report.running(), report.waiting(),
				report.heldTokens(), this.clock.get()));
	}

	private synchronized void fail(boolean refused) {
		this.failures++;
		if (refused || this.failures >= FAILURES_BEFORE_GONE) {
			this.reports.post(new SidecarEvent.UpstreamUnreachable(this.clock.get()));
		}
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	/**
	 * How the upstream is.
	 *
	 * @param instance the number of its life, or 0 if it has none
	 * @param running the requests it runs
	 * @param waiting the requests that wait in it
	 * @param heldTokens the tokens of memory it holds for sessions
	 */
	private record Report(long instance, int running, int waiting, long heldTokens) {

		Report with(HeldMemory held) {
			long tokens = held.sessions().stream().mapToLong(HeldMemory.HeldSession::tokens).sum();
			return new Report(this.instance, this.running, this.waiting, tokens);
		}

	}

}
