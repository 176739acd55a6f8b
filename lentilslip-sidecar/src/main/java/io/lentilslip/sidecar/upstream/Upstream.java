package io.lentilslip.sidecar.upstream;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;

import io.lentilslip.client.engine.Engine;
import io.lentilslip.client.http.HttpLimits;
import io.lentilslip.client.service.PlainService;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.configuration.UpstreamKind;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.sidecar.SidecarEffect;
import io.lentilslip.core.sidecar.SidecarEvent;

/**
 * The upstream beside a sidecar: a model engine or plain services. Its methods return at
 * once and report by events. Safe for use by several threads.
 */
public final class Upstream implements AutoCloseable {

	private static final int MAXIMUM_CALLS = 4096;

	private static final Duration LONGEST_SILENCE = Duration.ofMinutes(1);

	private static final Duration SHORT_CALL = Duration.ofSeconds(2);

	private static final Duration LONGEST_SERVICE_CALL = Duration.ofMinutes(15);

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private final Runs runs = new Runs(this.executor);

	private final UpstreamReports reports;

	private final Supplier<Instant> clock;

	private final Engine engine;

	private final PlainService services;

	private final EngineRuns engineRuns;

	private final ServiceRuns serviceRuns;

	private final UpstreamPoller poller;

	/**
	 * Creates the upstream at an address, which is not asked anything yet.
	 * @param address where the upstream is
	 * @param self the life of this process
	 * @param kind what the configuration says that the upstream is
	 * @param reports where events go
	 * @param clock the clock
	 */
	public Upstream(Endpoint address, Incarnation self, Supplier<Optional<UpstreamKind>> kind, UpstreamReports reports,
			Supplier<Instant> clock) {
		this.reports = reports;
		this.clock = clock;
		HttpLimits limits = HttpLimits.defaults().withMaximumCalls(MAXIMUM_CALLS);
		this.engine = new Engine.ForHttp(address, limits.withTimeouts(LONGEST_SILENCE, SHORT_CALL));
		this.services = new PlainService.ForHttp(limits.withTimeouts(LONGEST_SERVICE_CALL, LONGEST_SERVICE_CALL));
		this.engineRuns = new EngineRuns(this.engine, self, this.runs, reports, clock);
		this.serviceRuns = new ServiceRuns(this.services, address, this.runs, reports, clock);
		this.poller = new UpstreamPoller(this.engine, address, kind, reports, clock, this.executor,
				Executors.newSingleThreadScheduledExecutor(
						(work) -> Thread.ofPlatform().name("sidecar-poll").daemon(true).unstarted(work)));
	}

	/**
	 * Starts to ask the upstream how it is.
	 */
	public void start() {
		this.poller.start();
	}

	/**
	 * Asks the engine for an answer.
	 * @param effect what to generate
	 */
	public void generate(SidecarEffect.Generate effect) {
		this.engineRuns.generate(effect.run(), effect.request());
	}

	/**
	 * Passes a request to a plain service.
	 * @param effect the request
	 */
	public void serve(SidecarEffect.CallService effect) {
		this.serviceRuns.serve(effect.run(), effect.message(), effect.timeout());
	}

	/**
	 * Breaks a request off, which still ends by its event.
	 * @param effect the request
	 */
	public void cancel(SidecarEffect.CancelRun effect) {
		this.runs.cancel(effect.run());
	}

	/**
	 * Tells the engine to release the cache held for a program.
	 * @param program the program
	 */
	public void release(ProgramId program) {
		this.engine.release(EngineRuns.session(program)).whenComplete((answer, failure) -> {
			boolean released = answer != null && answer.isRight();
			Instant now = this.clock.get();
			this.reports.post(released ? new SidecarEvent.SessionReleased(program, now)
					: new SidecarEvent.SessionReleaseFailed(program, now));
		});
	}

	/**
	 * Breaks all requests off and asks nothing more.
	 */
	@Override
	public void close() {
		this.poller.close();
		this.engine.close();
		this.services.close();
		this.executor.shutdownNow();
	}

}
