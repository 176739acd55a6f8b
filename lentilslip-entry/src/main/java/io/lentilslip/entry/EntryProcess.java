package io.lentilslip.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.entry.EntryEffect;
import io.lentilslip.core.entry.EntryEvent;
import io.lentilslip.core.entry.EntryStatus;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.retry.Backoff;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.NodeEvent;
import io.lentilslip.entry.http.AdminPort;
import io.lentilslip.entry.http.AdminView;
import io.lentilslip.entry.http.CallerDesk;
import io.lentilslip.entry.http.CallerPort;
import io.lentilslip.entry.http.HttpLimits;
import io.lentilslip.entry.http.Submissions;
import io.lentilslip.entry.link.LinkReports;
import io.lentilslip.entry.link.SidecarLinks;
import io.lentilslip.runtime.configuration.ConfigurationLineage;
import io.lentilslip.runtime.configuration.PublishedVersion;
import io.lentilslip.runtime.loop.Admission;
import io.lentilslip.runtime.loop.ProcessContext;
import io.lentilslip.runtime.node.EventWrapping;
import io.lentilslip.runtime.node.Node;
import io.lentilslip.runtime.node.NodeBounds;
import io.lentilslip.runtime.node.Platform;
import io.lentilslip.runtime.node.Role;
import io.lentilslip.settings.process.EntrySettings;
import io.lentilslip.settings.process.ProcessSettings;
import io.lentilslip.telemetry.Metrics;
import io.lentilslip.wire.link.LinkClient;
import io.lentilslip.wire.link.LinkSecret;
import io.lentilslip.wire.link.LinkSettings;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;

/**
 * An entry: callers' port, links to sidecars, admin port and the reducer between them. It
 * keeps the order of effects: what the reducer returns is handed to the ports and links
 * one after the other by the loop's thread. Safe for use by several threads.
 */
public final class EntryProcess implements AutoCloseable {

	private static final String ROLE = "entry";

	private static final int LINK_THREADS = 2;

	private final EntrySettings settings;

	private final ProcessId self;

	private final Node<?, EntryEvent, EntryEffect> node;

	private final Supplier<EntryStatus> status;

	private final Metrics metrics;

	private final ScheduledExecutorService timer;

	private final EventLoopGroup eventLoops = new NioEventLoopGroup(LINK_THREADS);

	private final LinkClient client;

	private final SidecarLinks links;

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final CompletableFuture<Void> ended = new CompletableFuture<>();

	private Optional<CallerPort> callers = Optional.empty();

	private Optional<AdminPort> admin = Optional.empty();

	private <S> EntryProcess(EntrySettings settings, Decisions<S> decisions, Platform platform, Metrics metrics,
			ProcessContext context) throws IOException {
		ProcessSettings process = settings.process();
		LinkSecret secret = LinkSecret.of(Files.readString(process.linkSecretFile()).strip());
		this.settings = settings;
		this.metrics = metrics;
		this.self = new ProcessId(process.vm(), new Incarnation(context.seeds().next() | 1));
		S first = decisions.first().apply(this.self, process.zone());
		Role<S, EntryEvent, EntryEffect> role = new Role<>(ROLE, decisions.reducer(), first, new Wrapping());
		Node<S, EntryEvent, EntryEffect> own = new Node<>(role, platform,
				NodeBounds.of(process.memory().queuedEvents(), process.memory().pendingAppends()), context);
		this.node = own;
		this.status = () -> decisions.status().apply(own.state());
		this.timer = Executors.newSingleThreadScheduledExecutor(
				(work) -> Thread.ofPlatform().name("entry-links").daemon(true).unstarted(work));
		this.client = new LinkClient(this.eventLoops, LinkSettings.standard(secret), this::greeting);
		this.links = new SidecarLinks(this.client::connect, Backoff.STANDARD, this.timer, this.node::now,
				context.seeds()::next, new Reports(), this::newestOffer);
	}

	/**
	 * Starts an entry.
	 * @param <S> the type of the reducer's state
	 * @param settings its settings
	 * @param decisions its reducer
	 * @param platform the services of the platform, not closed by the entry
	 * @param metrics what the admin port shows
	 * @param context what the parts share
	 * @return the entry, whose ports are open
	 * @throws IOException if the file with the shared secret can't be read
	 */
	public static <S> EntryProcess start(EntrySettings settings, Decisions<S> decisions, Platform platform,
			Metrics metrics, ProcessContext context) throws IOException {
		EntryProcess entry = new EntryProcess(settings, decisions, platform, metrics, context);
		try {
			entry.open();
			return entry;
		}
		catch (RuntimeException ex) {
			entry.close();
			throw ex;
		}
	}

	private void open() {
		ProcessSettings process = this.settings.process();
		report(NoticeCode.PROCESS_STARTED.with(FieldName.ROLE, ROLE)
			.with(FieldName.VM, this.self.vm())
			.with(FieldName.ZONE, process.zone())
			.with(FieldName.INCARNATION, this.self.incarnation()));
		CallerDesk desk = new CallerDesk(this.self.incarnation(), new NodeSubmissions(), this::configuration,
				this.node::now, this.node.context().seeds()::next);
		int threads = Runtime.getRuntime().availableProcessors();
		this.callers = Optional.of(CallerPort.open(this.settings.callers(), this::httpLimits, threads, desk));
		this.admin = Optional.of(AdminPort.open(process.admin(), this.metrics, this::view));
		this.node.start(this::run);
	}

	/**
	 * Returns the address that callers reach.
	 * @return the address with the port in use
	 */
	public InetSocketAddress callers() {
		return this.callers.orElseThrow().address();
	}

	/**
	 * Returns the address that operators reach.
	 * @return the address with the port in use
	 */
	public InetSocketAddress admin() {
		return this.admin.orElseThrow().address();
	}

	/**
	 * Returns this life of the entry.
	 * @return the identity of the process
	 */
	public ProcessId self() {
		return this.self;
	}

	/**
	 * Returns the state as operators see it.
	 * @return the state
	 */
	public EntryStatus status() {
		return this.status.get();
	}

	private AdminView view() {
		return new AdminView(status(), this.settings.process().zone(),
				this.callers.map(CallerPort::openCalls).orElse(0), this.callers.map(CallerPort::connections).orElse(0));
	}

	private HttpLimits httpLimits() {
		return HttpLimits.in(configuration());
	}

	private Optional<Configuration> configuration() {
		return this.node.configuration().newest().map(PublishedVersion::configuration);
	}

	private Optional<LinkMessage.ConfigurationOffer> newestOffer() {
		return this.node.configuration()
			.newest()
			.map((version) -> new LinkMessage.ConfigurationOffer(version.version(), version.record()));
	}

	private LinkMessage.Hello greeting() {
		long version = this.node.configuration()
			.newest()
			.map(PublishedVersion::version)
			.orElse(ConfigurationLineage.NONE);
		return new LinkMessage.Hello(this.self, this.settings.process().zone(), version);
	}

	private void run(EntryEffect effect) {
		switch (effect) {
			case EntryEffect.ForNode forNode -> this.node.run(forNode.effect());
			case EntryEffect.Connect connect -> this.links.connect(connect.vm(), connect.address());
			case EntryEffect.Disconnect disconnect -> this.links.disconnect(disconnect.vm());
			case EntryEffect.Send send -> this.links.send(send.sidecar(), send.messageAt(this.node.now()));
			case EntryEffect.Deliver deliver -> this.callers.orElseThrow().run(deliver);
			case EntryEffect.Complete complete -> this.callers.orElseThrow().run(complete);
			case EntryEffect.SendProgramState show -> this.callers.orElseThrow().run(show);
		}
	}

	private void report(Notice notice) {
		this.node.context().notices().accept(notice);
	}

	/**
	 * Begins to stop: calls under way end, new ones are refused as not run. Returns at
	 * once; a second call does nothing.
	 * @return a stage that completes once every caller has its answer, or the drain time
	 * is over
	 */
	public CompletableFuture<Void> requestStop() {
		if (this.stopping.getAndSet(true)) {
			return this.ended.copy();
		}
		CallerPort port = this.callers.orElseThrow();
		port.drain();
		this.node.requestStop();
		Duration limit = configuration().map(Configuration::limits).orElse(Limits.DEFAULT).drainTime();
		this.node.stopped()
			.thenCompose((done) -> port.finish())
			.orTimeout(limit.toNanos(), TimeUnit.NANOSECONDS)
			.whenComplete((done, late) -> {
				if (late != null) {
					reportLate(limit);
				}
				this.ended.complete(null);
			});
		return this.ended.copy();
	}

	private void reportLate(Duration limit) {
		report(NoticeCode.DRAINING_ENDED.with(FieldName.ROLE, ROLE)
			.with(FieldName.VM, this.self.vm())
			.with(FieldName.COUNT, this.callers.map(CallerPort::openCalls).orElse(0))
			.with(FieldName.REASON, "the drain time of " + limit + " is over"));
	}

	/**
	 * Ends all parts, whatever is under way. A caller that still waits sees its
	 * connection end.
	 */
	@Override
	public void close() {
		this.callers.ifPresent(CallerPort::close);
		this.timer.shutdownNow();
		this.client.close();
		this.node.close();
		this.admin.ifPresent(AdminPort::close);
		this.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		this.ended.complete(null);
	}

	/**
	 * A wrapping of the events that all processes have. Safe for use by several threads.
	 */
	private static final class Wrapping implements EventWrapping<EntryEvent> {

		@Override
		public EntryEvent of(NodeEvent event) {
			return new EntryEvent.NodeEventReceived(event);
		}

		@Override
		public EntryEvent of(LogEvent event) {
			return new EntryEvent.LogEventReceived(event);
		}

	}

	/**
	 * The way of callers' requests into the loop. Safe for use by several threads.
	 */
	private final class NodeSubmissions implements Submissions {

		@Override
		public boolean submit(EntryEvent event) {
			return EntryProcess.this.node.offer(event) == Admission.ADMITTED;
		}

		@Override
		public void post(EntryEvent event) {
			EntryProcess.this.node.post(event);
		}

	}

	/**
	 * The way of what happens on links into the loop. Safe for use by several threads.
	 */
	private final class Reports implements LinkReports {

		@Override
		public void post(EntryEvent event) {
			EntryProcess.this.node.post(event);
		}

		// Read on the timer's thread: a large configuration takes some milliseconds,
		// which
		// the answers of other sidecars on the event loop should not wait for.
		@Override
		public void offered(VmName vm, LinkMessage.ConfigurationOffer offer) {
			EntryProcess.this.timer.execute(() -> {
				if (EntryProcess.this.node.configuration().offer(vm, offer.version(), offer.source())) {
					EntryProcess.this.links.offerNewest();
				}
			});
		}

		@Override
		public void report(Notice notice) {
			EntryProcess.this.report(notice);
		}

		@Override
		public void measure(Measurement measurement) {
			EntryProcess.this.node.context().measurements().accept(measurement);
		}

	}

}
