package io.lentilslip.runtime.node;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.lentilslip.core.measurement.CollectionName;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.core.role.NodeEvent;
import io.lentilslip.runtime.configuration.ConfigurationFollower;
import io.lentilslip.runtime.configuration.PublishedVersion;
import io.lentilslip.runtime.log.GroupCommitter;
import io.lentilslip.runtime.log.LogFollower;
import io.lentilslip.runtime.loop.Admission;
import io.lentilslip.runtime.loop.EffectRunner;
import io.lentilslip.runtime.loop.ProcessContext;
import io.lentilslip.runtime.loop.ReducerLoop;
import io.lentilslip.runtime.loop.Ticker;
import io.lentilslip.runtime.membership.VmListFollower;

/**
 * The part of a process that both roles have: the loop around the role's reducer, what
 * feeds it from the log, the configuration and the list of VMs, and what runs the effects
 * of either role. Each part is started after those it reports to and closed before them.
 * Safe for use by several threads.
 *
 * @param <S> the type of the role's state
 * @param <E> the type of the role's events
 * @param <F> the type of the role's effects
 */
public final class Node<S, E, F> implements AutoCloseable {

	private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

	private final Role<S, E, F> role;

	private final Platform platform;

	private final NodeBounds bounds;

	private final ProcessContext context;

	private final ReducerLoop<S, E, F> loop;

	private final GroupCommitter committer;

	private final ConfigurationFollower configuration;

	private final LogFollower log;

	private final ScheduledExecutorService scheduler;

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private final AtomicReference<Instant> refusalReported = new AtomicReference<>(Instant.MIN);

	/**
	 * Creates the common part of a process, which has not started.
	 * @param role what makes the process an entry or a sidecar
	 * @param platform the services of the platform, not closed by the node
	 * @param bounds bounds and intervals
	 * @param context what the parts share
	 */
	public Node(Role<S, E, F> role, Platform platform, NodeBounds bounds, ProcessContext context) {
		this.role = role;
		this.platform = platform;
		this.bounds = bounds;
		this.context = context;
		this.loop = new ReducerLoop<>(role.name() + "-loop", role.reducer(), role.first(), bounds.waitingEvents(),
				context.termination());
		this.committer = new GroupCommitter(platform.log(), bounds.waitingAppends(),
				(event) -> this.loop.post(role.wrapping().of(event)), context);
		this.configuration = new ConfigurationFollower(platform.log(), this::accept, context);
		this.log = new LogFollower(platform.log(), (event) -> this.loop.postWhenRoom(role.wrapping().of(event)),
				context);
		this.scheduler = Executors.newSingleThreadScheduledExecutor(
				(work) -> Thread.ofPlatform().name(role.name() + "-timer").daemon(true).unstarted(work));
	}

	private void accept(PublishedVersion version) {
		post(this.role.wrapping()
			.of(new NodeEvent.ConfigurationAccepted(version.version(), version.configuration(), now())));
	}

	/**
	 * Starts all parts.
	 * @param effects what runs the effects of the role; it hands those of
	 * {@link NodeEffect} to {@link #run}
	 */
	public void start(EffectRunner<F> effects) {
		this.loop.start(effects);
		this.committer.start();
		this.configuration.start();
		this.log.start();
		Ticker.start(this.loop, this.role.wrapping()::of, this.bounds.tick(), this.context.clock(),
				this.context.seeds(), this.scheduler);
		VmListFollower.start(this.platform.vms(), this.bounds.vmListInterval(),
				(event) -> post(this.role.wrapping().of(event)), this.context.clock(), this.scheduler);
		this.scheduler.scheduleWithFixedDelay(this::measure, 0, REPORT_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
	}

	private void measure() {
		this.context.measurements()
			.accept(new Measurement.CollectionSize(CollectionName.MAILBOX, this.loop.waiting(), this.loop.bound()));
	}

	/**
	 * Runs an effect that both roles have. Called by the thread of the loop alone.
	 * @param effect the effect
	 */
	public void run(NodeEffect effect) {
		switch (effect) {
			case NodeEffect.AppendRecord append -> this.committer.append(append);
			case NodeEffect.WriteNotice report -> this.context.notices().accept(report.notice());
			case NodeEffect.RecordMeasurement measure -> this.context.measurements().accept(measure.measurement());
			case NodeEffect.Stopped done -> this.stopped.complete(null);
		}
	}

	/**
	 * Offers an event that may be refused; refusals are reported, at most once a second.
	 * @param event the event
	 * @return whether the reducer will see the event
	 */
	public Admission offer(E event) {
		Admission admission = this.loop.offer(event);
		if (admission == Admission.FULL) {
			reportRefusal();
		}
		return admission;
	}

	private void reportRefusal() {
		Instant now = now();
		Instant last = this.refusalReported.get();
		if (now.isBefore(last.plus(REPORT_INTERVAL)) || !this.refusalReported.compareAndSet(last, now)) {
			return;
		}
		this.context.notices()
			.accept(new Notice(NoticeCode.MAILBOX_FULL, List.of()).with(FieldName.ROLE, this.role.name())
				.with(FieldName.LIMIT, this.loop.bound()));
	}

	/**
	 * Posts an event that the reducer can't do without.
	 * @param event the event
	 */
	public void post(E event) {
		this.loop.post(event);
	}

	/**
	 * Posts an event once there is room; never called by the loop's own thread.
	 * @param event the event
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	public void postWhenRoom(E event) throws InterruptedException {
		this.loop.postWhenRoom(event);
	}

	/**
	 * Returns the state after the last event that was handled whole.
	 * @return the state
	 */
	public S state() {
		return this.loop.state();
	}

	/**
	 * Returns what knows the configuration in force, and takes offers of peers.
	 * @return the follower of the configuration
	 */
	public ConfigurationFollower configuration() {
		return this.configuration;
	}

	/**
	 * Returns the time.
	 * @return the time by the clock of the process
	 */
	public Instant now() {
		return this.context.clock().now();
	}

	/**
	 * Returns what the parts of the process share.
	 * @return the context
	 */
	public ProcessContext context() {
		return this.context;
	}

	/**
	 * Asks the reducer to bring its work to an end.
	 */
	public void requestStop() {
		post(this.role.wrapping().of(new NodeEvent.StopRequested(now())));
	}

	/**
	 * Returns a stage that completes once the reducer says that all work is done.
	 * @return the stage
	 */
	public CompletableFuture<Void> stopped() {
		return this.stopped.copy();
	}

	/**
	 * Ends all parts, whatever is under way.
	 */
	@Override
	public void close() {
		this.scheduler.shutdownNow();
		this.log.close();
		this.configuration.close();
		this.committer.close();
		this.loop.close();
	}

}
