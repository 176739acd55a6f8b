package io.lentilslip.sidecar.upstream;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;

import io.lentilslip.client.service.PendingCall;
import io.lentilslip.client.service.PlainService;
import io.lentilslip.client.service.ServiceOutcome;
import io.lentilslip.core.call.ServiceRequest;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.sidecar.RunId;
import io.lentilslip.core.sidecar.RunResult;
import io.lentilslip.core.sidecar.SidecarEvent;

/**
 * Passes requests to the plain services of the upstream. Each ends by exactly one
 * {@link SidecarEvent.RunEnded}. Safe for use by several threads.
 */
final class ServiceRuns {

	private static final int INVALID = 400;

	private final PlainService services;

	private final Endpoint upstream;

	private final Runs runs;

	private final UpstreamReports reports;

	private final Supplier<Instant> clock;

	/**
	 * Creates what passes requests.
	 * @param services the client of the services
	 * @param upstream where they are
	 * @param runs the requests under way
	 * @param reports where events go
	 * @param clock the clock
	 */
	ServiceRuns(PlainService services, Endpoint upstream, Runs runs, UpstreamReports reports, Supplier<Instant> clock) {
		this.services = services;
		this.upstream = upstream;
		this.runs = runs;
		this.reports = reports;
		this.clock = clock;
	}

	/**
	 * Passes a request. Returns at once.
	 * @param run the request
	 * @param message the HTTP request
	 * @param timeout how long to wait for the whole answer
	 */
	void serve(RunId run, ServiceRequest message, Duration timeout) {
		this.runs.start(run, () -> {
			PendingCall call = this.services.call(this.upstream, message, timeout);
			call.outcome().thenAccept((outcome) -> end(run, result(outcome)));
			return call::cancel;
		}, (fault) -> end(run, EngineRuns.fault(fault)));
	}

	private void end(RunId run, RunResult result) {
		this.runs.ended(run);
		this.reports.post(new SidecarEvent.RunEnded(run, result, this.clock.get()));
	}

	private static RunResult result(ServiceOutcome outcome) {
		return switch (outcome) {
			case ServiceOutcome.Answered answered -> new RunResult.Served(answered.answer());
			case ServiceOutcome.Invalid invalid -> new RunResult.Rejected(INVALID, invalid.reason());
			case ServiceOutcome.NotSent missed -> new RunResult.Failed(missed.verdict(), missed.reason(), false);
			case ServiceOutcome.Lost lost -> new RunResult.Failed(lost.verdict(), lost.reason(), lost.brokenOff());
		};
	}

}
