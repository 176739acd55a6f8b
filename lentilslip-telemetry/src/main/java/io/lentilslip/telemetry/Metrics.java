package io.lentilslip.telemetry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.NoticeCode;
import io.prometheus.metrics.config.EscapingScheme;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of one process of the system. Each instance has a registry of its own, so
 * that several processes embedded in one Java process keep their figures apart. The
 * number of time series is bounded: labels come from enums, or from
 * {@link BoundedLabels}. Safe for use by several threads; a lock keeps a group that is
 * forgotten from being counted at the same moment, which would leave its series behind
 * for ever.
 */
public final class Metrics {

	/**
	 * The media type of the exposition.
	 */
	public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

	/**
	 * The most groups that have series of their own, unless stated otherwise.
	 */
	public static final int DEFAULT_GROUP_LIMIT = 50;

	private static final int CLASS_LIMIT = 16;

	private static final int ROUTE_LIMIT = 50;

	private static final String NO_GROUP = "none";

	private static final double NANOSECONDS = 1e9;

	private static final double MILLISECONDS = 1e3;

	private static final double[] CALL_BOUNDS = { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.38, 0.75, 1.5, 3,
			6, 15, 30, 60, 120 };

	private static final double[] PROGRAM_BOUNDS = { 0.1, 0.5, 1, 2.5, 5, 10, 20, 40, 60, 120, 300, 600, 1800, 3600 };

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final BoundedLabels groups;

	private final BoundedLabels classes = new BoundedLabels(CLASS_LIMIT);

	private final Histogram callLatency = histogram("lentilslip_call_latency_seconds",
			"Time from a call's arrival to the end of its answer.", "group", CALL_BOUNDS);

	private final Histogram classLatency = histogram("lentilslip_class_latency_seconds",
			"Time from a call's arrival to the end of its answer, by class of service.", "class", CALL_BOUNDS);

	private final Histogram callQueueing = histogram("lentilslip_call_queueing_seconds",
			"Time that a call waited for an upstream.", "group", CALL_BOUNDS);

	private final Histogram firstToken = histogram("lentilslip_first_token_seconds",
			"Time from a call's arrival to its first token.", "group", CALL_BOUNDS);

	private final Counter calls = counter("lentilslip_calls_total", "Accepted calls that have ended.", "group",
			"outcome");

	private final Counter promptTokens = counter("lentilslip_prompt_tokens_total",
			"Tokens of prompts, cached ones included.", "group");

	private final Counter cachedTokens = counter("lentilslip_cached_prompt_tokens_total",
			"Tokens of prompts that the engine had cached.", "group");

	private final Counter generatedTokens = counter("lentilslip_generated_tokens_total", "Tokens of answers.", "group");

	private final Counter refusals = counter("lentilslip_calls_refused_total", "Calls refused without running.",
			"group", "reason");

	private final Histogram programLatency = histogram("lentilslip_program_latency_seconds",
			"Time from a program's first call to the end of its last answer.", "group", PROGRAM_BOUNDS);

	private final Counter programs = counter("lentilslip_programs_ended_total", "Programs that have ended.", "group",
			"reason");

	private final Counter programCalls = counter("lentilslip_program_calls_total", "Calls of the programs that ended.",
			"group");

	private final Gauge queueLength = gauge("lentilslip_queue_length", "Calls that wait.", "queue");

	private final Gauge heldMemory = gauge("lentilslip_held_memory_tokens",
			"Tokens whose KV cache is held for programs.");

	private final Gauge budgetUsed = gauge("lentilslip_budget_used_tokens",
			"Tokens of the group's budget that are used or reserved.", "group");

	private final Gauge budgetLimit = gauge("lentilslip_budget_limit_tokens", "The group's budget in tokens.", "group");

	private final Gauge collectionSize = gauge("lentilslip_collection_size", "Elements of a queue, map or cache.",
			"collection");

	private final Gauge collectionBound = gauge("lentilslip_collection_bound",
			"The most elements of a queue, map or cache.", "collection");

	private final Histogram logAppend = histogram("lentilslip_log_append_seconds",
			"Time from an append to its answer, or to giving up.", "outcome", CALL_BOUNDS);

	private final BoundedLabels routes = new BoundedLabels(ROUTE_LIMIT);

	private final Histogram routeLatency = histogram("lentilslip_route_latency_seconds",
			"Time from the reading of a request by a relay to the end of its answer.", CALL_BOUNDS, "route", "outcome");

	private final Histogram routeFirstEvent = histogram("lentilslip_route_first_event_seconds",
			"Time from the reading of a request by a relay to the first event of its answer.", "route", CALL_BOUNDS);

	private final Counter routeRefusals = counter("lentilslip_route_refusals_total", "Requests that a relay refused.",
			"route", "reason");

	private final Counter turnsRenewed = counter("lentilslip_relay_turns_renewed_total",
			"Turns that were appended to the log again, since their records were about to expire.");

	private final Counter renewedBytes = counter("lentilslip_relay_renewed_bytes_total",
			"Bytes of the texts of turns that were appended to the log again.");

	private final Counter streamsResumed = counter("lentilslip_relay_streams_resumed_total",
			"Streams that callers resumed, by how their software version was known.", "source");

	private final Counter responsesUnmatched = counter("lentilslip_relay_responses_unmatched_total",
			"Responses and bytes of upstreams that belong to no request in flight.", "kind");

	private final Counter callersShed = counter("lentilslip_relay_callers_shed_total",
			"Callers that were refused, or whose connections were closed, for lack of a resource.", "cause");

	private final BoundedLabels services = new BoundedLabels(ROUTE_LIMIT);

	private final Gauge admittedFraction = gauge("lentilslip_service_admitted_fraction",
			"Fraction of new programs that a relay admits to a service.", "service");

	private final Gauge expectedWait = gauge("lentilslip_service_expected_wait_seconds",
			"Expected wait for a place at the upstreams of a service.", "service");

	private final Histogram timerLateness = histogram("lentilslip_relay_timer_lateness_seconds",
			"Time by which a relay's own timer ran later than planned.", CALL_BOUNDS);

	private final Counter relayEvents = counter("lentilslip_relay_events_total", "Events that a relay has handled.",
			"event");

	private final Counter relayEventSeconds = counter("lentilslip_relay_event_seconds_total",
			"Time that a relay's events took.", "event");

	private final Histogram writeDelay = histogram("lentilslip_relay_write_delay_seconds",
			"Time from the selection of an upstream to the write of the request.", CALL_BOUNDS);

	private final Counter entriesGivenUp = counter("lentilslip_relay_entries_given_up_total",
			"Entries that waited for the store until a relay no longer kept them.");

	private final Counter relayBytes = counter("lentilslip_relay_bytes_total", "Bytes that a relay sent or took.",
			"kind");

	private final Counter relayMessages = counter("lentilslip_relay_messages_total",
			"Messages on links and records of the store that a relay sent or took.", "kind");

	private final Counter logCopies = counter("lentilslip_relay_log_copies_total",
			"Entries whose request and kind the log had shown before.", "kind");

	private final Gauge linksUp = gauge("lentilslip_links_up", "Links to peers that are up.", "peer");

	private final Gauge linksKnown = gauge("lentilslip_links_known", "Peers that should be linked.", "peer");

	private final Counter retries = counter("lentilslip_retries_total", "Further attempts that were made.",
			"operation");

	private final Counter retriesDenied = counter("lentilslip_retries_denied_total",
			"Further attempts that the retry budget did not allow.", "operation");

	private final Counter notices = counter("lentilslip_notices_total", "Numbered events, written or not.", "number",
			"name", "level");

	/**
	 * Creates metrics that give series of their own to the default number of groups.
	 */
	public Metrics() {
		this(DEFAULT_GROUP_LIMIT);
	}

	/**
	 * Creates metrics.
	 * @param groupLimit the most groups that have series of their own; the rest are
	 * counted together
	 */
	public Metrics(int groupLimit) {
		this.groups = new BoundedLabels(groupLimit);
		Runtime runtime = Runtime.getRuntime();
		GaugeWithCallback.builder()
			.name("lentilslip_heap_used_bytes")
			.help("Heap of the Java process that is in use.")
			.callback((gauge) -> gauge.call(runtime.totalMemory() - runtime.freeMemory()))
			.register(this.registry);
		GaugeWithCallback.builder()
			.name("lentilslip_heap_limit_bytes")
			.help("The most heap the Java process may use.")
			.callback((gauge) -> gauge.call(runtime.maxMemory()))
			.register(this.registry);
		CounterWithCallback.builder()
			.name("lentilslip_collector_seconds_total")
			.help("Time of garbage collections of the Java process.")
			.labelNames("collector")
			.callback((counter) -> ManagementFactory.getGarbageCollectorMXBeans()
				.forEach(
						(collector) -> counter.call(collector.getCollectionTime() / MILLISECONDS, collector.getName())))
			.register(this.registry);
	}

	/**
	 * Counts a measurement.
	 * @param measurement the measurement
	 */
	public synchronized void apply(Measurement measurement) {
		switch (measurement) {
			case Measurement.CallEnded ended -> apply(ended);
			case Measurement.ProgramEnded ended -> apply(ended);
			case Measurement.CallRefused(Optional<GroupName> group, Measurement.CallRefused.Reason reason) ->
				this.refusals.labelValues(group.map(this::labelOf).orElse(NO_GROUP), reason.label()).inc();
			case Measurement.QueueLength(Measurement.QueueLength.Kind kind, long length) ->
				this.queueLength.labelValues(kind.label()).set(length);
			case Measurement.HeldMemory(long tokens) -> this.heldMemory.set(tokens);
			case Measurement.BudgetUse use -> apply(use);
			case Measurement.CollectionSize size -> {
				this.collectionSize.labelValues(size.name().label()).set(size.size());
				this.collectionBound.labelValues(size.name().label()).set(size.bound());
			}
			case Measurement.LogAppend(Measurement.LogAppend.Outcome outcome, Duration duration) ->
				this.logAppend.labelValues(outcome.label()).observe(seconds(duration));
			case Measurement.LinkState state -> {
				this.linksUp.labelValues(state.kind().label()).set(state.up());
				this.linksKnown.labelValues(state.kind().label()).set(state.known());
			}
			case Measurement.RouteRequestEnded ended -> apply(ended);
			case Measurement.RouteRequestRefused(String route, String reason) ->
				this.routeRefusals.labelValues(this.routes.labelOf(route), reason).inc();
			case Measurement.TurnRenewed(int bytes) -> {
				this.turnsRenewed.inc();
				this.renewedBytes.inc(bytes);
			}
			case Measurement.StreamResumed(Measurement.StreamResumed.Source source) ->
				this.streamsResumed.labelValues(source.label()).inc();
			case Measurement.ResponseUnmatched(Measurement.ResponseUnmatched.Kind kind) ->
				this.responsesUnmatched.labelValues(kind.label()).inc();
			case Measurement.CallerShed(Measurement.CallerShed.Cause cause) ->
				this.callersShed.labelValues(cause.label()).inc();
			case Measurement.ServiceAdmission admission -> apply(admission);
			case Measurement.TimerRan(Duration late) -> this.timerLateness.observe(seconds(late));
			case Measurement.EventsHandled(String kind, long count, Duration time) -> {
				this.relayEvents.labelValues(kind).inc(count);
				this.relayEventSeconds.labelValues(kind).inc(seconds(time));
			}
			case Measurement.RequestWritten(Duration delay) -> this.writeDelay.observe(seconds(delay));
			case Measurement.EntriesGivenUp(long entries) -> this.entriesGivenUp.inc(entries);
			case Measurement.RelayTraffic traffic -> {
				this.relayBytes.labelValues(traffic.kind().label()).inc(traffic.bytes());
				this.relayMessages.labelValues(traffic.kind().label()).inc(traffic.messages());
			}
			case Measurement.LogCopies(Measurement.LogCopies.Kind kind, long entries) ->
				this.logCopies.labelValues(kind.label()).inc(entries);
			case Measurement.Retries tried -> {
				this.retries.labelValues(tried.operation().label()).inc(tried.attempts());
				this.retriesDenied.labelValues(tried.operation().label()).inc(tried.denied());
			}
		}
	}

	/**
	 * Counts a notice.
	 * @param code the code of the notice
	 */
	public void count(NoticeCode code) {
		this.notices.labelValues(Integer.toString(code.number()), code.name(), code.level().name()).inc();
	}

	/**
	 * Removes the series of a group that is gone from the configuration, and lets another
	 * group take its place. Without this, groups that come and go use up all places, and
	 * each new group is counted under {@code other}.
	 * @param group the group
	 */
	public synchronized void forget(GroupName group) {
		String label = group.value();
		if (!this.groups.release(label)) {
			return;
		}
		this.callLatency.remove(label);
		this.callQueueing.remove(label);
		this.firstToken.remove(label);
		this.promptTokens.remove(label);
		this.cachedTokens.remove(label);
		this.generatedTokens.remove(label);
		this.programLatency.remove(label);
		this.programCalls.remove(label);
		this.budgetUsed.remove(label);
		this.budgetLimit.remove(label);
		for (Measurement.CallEnded.Outcome outcome : Measurement.CallEnded.Outcome.values()) {
			this.calls.remove(label, outcome.label());
		}
		for (Measurement.ProgramEnded.Reason reason : Measurement.ProgramEnded.Reason.values()) {
			this.programs.remove(label, reason.label());
		}
		for (Measurement.CallRefused.Reason reason : Measurement.CallRefused.Reason.values()) {
			this.refusals.remove(label, reason.label());
		}
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the text, of the media type {@link #CONTENT_TYPE}
	 */
	public String exposition() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(bytes, this.registry.scrape(), EscapingScheme.DEFAULT);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toString(StandardCharsets.UTF_8);
	}

	private void apply(Measurement.CallEnded ended) {
		String group = labelOf(ended.group());
		double latency = seconds(ended.latency());
		this.callLatency.labelValues(group).observe(latency);
		this.classLatency.labelValues(this.classes.labelOf(ended.serviceClass())).observe(latency);
		this.callQueueing.labelValues(group).observe(seconds(ended.queueing()));
		ended.firstToken().ifPresent((time) -> this.firstToken.labelValues(group).observe(seconds(time)));
		this.calls.labelValues(group, ended.outcome().label()).inc();
		this.promptTokens.labelValues(group).inc(ended.promptTokens());
		this.cachedTokens.labelValues(group).inc(ended.cachedTokens());
		this.generatedTokens.labelValues(group).inc(ended.generatedTokens());
	}

	private void apply(Measurement.RouteRequestEnded ended) {
		String route = this.routes.labelOf(ended.route());
		this.routeLatency.labelValues(route, ended.outcome().label()).observe(seconds(ended.latency()));
		ended.firstEvent().ifPresent((time) -> this.routeFirstEvent.labelValues(route).observe(seconds(time)));
	}

	// Gauges of several services cannot share a series, as for groups.
	private void apply(Measurement.ServiceAdmission admission) {
		String service = this.services.labelOf(admission.service());
		if (service.equals(BoundedLabels.OTHER)) {
			return;
		}
		this.admittedFraction.labelValues(service).set(admission.fraction());
		this.expectedWait.labelValues(service).set(seconds(admission.expectedWait()));
	}

	private void apply(Measurement.ProgramEnded ended) {
		String group = labelOf(ended.group());
		this.programLatency.labelValues(group).observe(seconds(ended.latency()));
		this.programs.labelValues(group, ended.reason().label()).inc();
		this.programCalls.labelValues(group).inc(ended.calls());
	}

	// Gauges of several groups cannot share a series: the last one written would stand
	// for all of them. A group without a label of its own has no gauges.
	private void apply(Measurement.BudgetUse use) {
		String group = labelOf(use.group());
		if (group.equals(BoundedLabels.OTHER)) {
			return;
		}
		this.budgetUsed.labelValues(group).set(use.used());
		this.budgetLimit.labelValues(group).set(use.limit());
	}

	private String labelOf(GroupName group) {
		return this.groups.labelOf(group.value());
	}

	private static double seconds(Duration duration) {
		return duration.toNanos() / NANOSECONDS;
	}

	private Histogram histogram(String name, String help, String label, double[] bounds) {
		return histogram(name, help, bounds, label);
	}

	private Histogram histogram(String name, String help, double[] bounds, String... labels) {
		return Histogram.builder()
			.name(name)
			.help(help)
			.labelNames(labels)
			.classicOnly()
			.classicUpperBounds(bounds)
			.register(this.registry);
	}

	private Counter counter(String name, String help, String... labels) {
		return Counter.builder().name(name).help(help).labelNames(labels).register(this.registry);
	}

	private Gauge gauge(String name, String help, String... labels) {
		return Gauge.builder().name(name).help(help).labelNames(labels).register(this.registry);
	}

}
