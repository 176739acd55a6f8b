package io.lentilslip.sidecar;

import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.configuration.UpstreamKind;
import io.lentilslip.core.configuration.UpstreamPolicy;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.NodeEvent;
import io.lentilslip.core.sidecar.SidecarEffect;
import io.lentilslip.core.sidecar.SidecarEvent;
import io.lentilslip.core.sidecar.SidecarReducer;
import io.lentilslip.core.sidecar.SidecarState;
import io.lentilslip.core.sidecar.SidecarStatus;
import io.lentilslip.runtime.configuration.ConfigurationLineage;
import io.lentilslip.runtime.configuration.PublishedVersion;
import io.lentilslip.runtime.loop.Admission;
import io.lentilslip.runtime.loop.ProcessContext;
import io.lentilslip.runtime.node.EventWrapping;
import io.lentilslip.runtime.node.Node;
import io.lentilslip.runtime.node.NodeBounds;
import io.lentilslip.runtime.node.Platform;
import io.lentilslip.runtime.node.Role;
import io.lentilslip.settings.process.ProcessSettings;
import io.lentilslip.settings.process.SidecarSettings;
import io.lentilslip.sidecar.admin.AdminServer;
import io.lentilslip.sidecar.history.HistoryReader;
import io.lentilslip.sidecar.link.EntryLinks;
import io.lentilslip.sidecar.link.EntryReports;
import io.lentilslip.sidecar.upstream.Upstream;
import io.lentilslip.sidecar.upstream.UpstreamReports;
import io.lentilslip.telemetry.Metrics;
import io.lentilslip.wire.link.LinkSecret;
import io.lentilslip.wire.link.LinkServer;
import io.lentilslip.wire.link.LinkSettings;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;

/**
 * A sidecar: links from entries, the upstream beside it, the log, the admin port, and the
 * reducer between them. What the reducer returns is handed on in its order by the loop's
 * thread, and nothing that it is handed to blocks. Safe for use by several threads.
 */
public final class SidecarProcess implements AutoCloseable {

	private static final String ROLE = "sidecar";

	private static final int LINK_THREADS = 2;

	private final SidecarSettings settings;

	private final ProcessId self;

	private final Node<SidecarState, SidecarEvent, SidecarEffect> node;

	private final Metrics metrics;

	private final LinkSecret secret;

	private final EventLoopGroup eventLoops = new NioEventLoopGroup(LINK_THREADS);

	// One thread, so that many offers at once don't take the processor from calls.
	private final ExecutorService offers = Executors
		.newSingleThreadExecutor((work) -> Thread.ofPlatform().name("sidecar-offers").daemon(true).unstarted(work));

	private final EntryLinks links;

	private final Upstream upstream;

	private final HistoryReader history;

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final CompletableFuture<Void> ended = new CompletableFuture<>();

	private Optional<LinkServer> server = Optional.empty();

	private Optional<AdminServer> admin = Optional.empty();

	private SidecarProcess(SidecarSettings settings, Platform platform, Metrics metrics, ProcessContext context)
			throws IOException {
		ProcessSettings process = settings.process();
		this.settings = settings;
		this.metrics = metrics;
		this.secret = LinkSecret.of(Files.readString(process.linkSecretFile()).strip());
		this.self = new ProcessId(process.vm(), new Incarnation(context.seeds().next() | 1));
		Role<SidecarState, SidecarEvent, SidecarEffect> role = new Role<>(ROLE, new SidecarReducer(),
				SidecarState.of(this.self, process.zone()), new Wrapping());
		this.node = new Node<>(role, platform,
				NodeBounds.of(process.memory().queuedEvents(), process.memory().pendingAppends()), context);
		this.links = new EntryLinks(new LinkReports(), this::newestOffer, this.node::now);
		this.upstream = new Upstream(settings.upstream(), this.self.incarnation(), this::kind, new RunReports(),
				this.node::now);
		this.history = new HistoryReader(platform.log(), this.node::post, this.node::now);
	}

	/**
	 * Starts a sidecar.
	 * @param settings its settings
	 * @param platform the services of the platform, not closed by the sidecar
	 * @param metrics what the admin port shows
	 * @param context what the parts share
	 * @return the sidecar, whose ports are open
	 * @throws IOException if the file with the shared secret can't be read
	 */
	public static SidecarProcess start(SidecarSettings settings, Platform platform, Metrics metrics,
			ProcessContext context) throws IOException {
		SidecarProcess sidecar = new SidecarProcess(settings, platform, metrics, context);
		try {
			sidecar.open();
			return sidecar;
		}
		catch (RuntimeException ex) {
			sidecar.close();
			throw ex;
		}
	}

	private void open() {
		ProcessSettings process = this.settings.process();
		report(NoticeCode.PROCESS_STARTED.with(FieldName.ROLE, ROLE)
			.with(FieldName.VM, this.self.vm())
			.with(FieldName.ZONE, process.zone())
			.with(FieldName.INCARNATION, this.self.incarnation()));
		this.node.start(this::run);
		this.upstream.start();
		this.server = Optional.of(LinkServer
			.listen(this.eventLoops, process.links(), LinkSettings.standard(this.secret), this::greeting, this.links)
			.get());
		this.admin = Optional.of(AdminServer.open(process.admin(), this.metrics, this::status));
	}

	private void run(SidecarEffect effect) {
		switch (effect) {
			case SidecarEffect.ForNode forNode -> this.node.run(forNode.effect());
			case SidecarEffect.Send send -> this.links.send(send.entry(), send.message());
			case SidecarEffect.Generate generate -> this.upstream.generate(generate);
			case SidecarEffect.CallService serve -> this.upstream.serve(serve);
			case SidecarEffect.CancelRun cancel -> this.upstream.cancel(cancel);
			case SidecarEffect.ReadHistory read -> this.history.read(read);
			case SidecarEffect.ReleaseSession release -> this.upstream.release(release.program());
		}
	}

	/**
	 * Returns the port that entries link to.
	 * @return the port in use
	 */
	public int linkPort() {
		return this.server.orElseThrow().port();
	}

	/**
	 * Returns the port that operators reach.
	 * @return the port in use
	 */
	public int adminPort() {
		return this.admin.orElseThrow().port();
	}

	/**
	 * Returns this life of the sidecar.
	 * @return the identity of the process
	 */
	public ProcessId self() {
		return this.self;
	}

	/**
	 * Returns the state as operators see it.
	 * @return the state
	 */
	public SidecarStatus status() {
		return this.node.state().status();
	}

	private Optional<Configuration> configuration() {
		return this.node.configuration().newest().map(PublishedVersion::configuration);
	}

	private Optional<UpstreamKind> kind() {
		return configuration().flatMap((known) -> known.upstream(this.self.vm())).map(UpstreamPolicy::kind);
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

	private void report(Notice notice) {
		this.node.context().notices().accept(notice);
	}

	/**
	 * Begins to stop: work under way ends, new work is refused as not run. Returns at
	 * once; a second call does nothing.
	 * @return a stage that completes once all work has ended, or the drain time is over
	 */
	public CompletableFuture<Void> requestStop() {
		if (this.stopping.getAndSet(true)) {
			return this.ended.copy();
		}
		this.node.requestStop();
		Duration limit = configuration().map(Configuration::limits).orElse(Limits.DEFAULT).drainTime();
		this.node.stopped().orTimeout(limit.toNanos(), TimeUnit.NANOSECONDS).whenComplete((done, late) -> {
			if (late != null) {
				report(NoticeCode.DRAINING_ENDED.with(FieldName.ROLE, ROLE)
					.with(FieldName.VM, this.self.vm())
					.with(FieldName.COUNT, status().queued() + status().running())
					.with(FieldName.REASON, "the drain time of " + limit + " is over"));
			}
			this.ended.complete(null);
		});
		return this.ended.copy();
	}

	/**
	 * Ends all parts, whatever is under way. Messages that were sent before are written
	 * first: the last answers of a drained sidecar are among them.
	 */
	@Override
	public void close() {
		this.server.ifPresent(LinkServer::close);
		this.upstream.close();
		this.history.close();
		this.offers.shutdownNow();
		this.node.close();
		this.admin.ifPresent(AdminServer::close);
		this.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		this.ended.complete(null);
	}

	/**
	 * Makes events of a sidecar. Safe for use by several threads.
	 */
	private static final class Wrapping implements EventWrapping<SidecarEvent> {

		@Override
		public SidecarEvent of(NodeEvent event) {
			return new SidecarEvent.NodeEventReceived(event);
		}

		@Override
		public SidecarEvent of(LogEvent event) {
			return new SidecarEvent.LogEventReceived(event);
		}

	}

	/**
	 * The way of the upstream's events into the loop. Safe for use by several threads.
	 */
	private final class RunReports implements UpstreamReports {

		@Override
		public void post(SidecarEvent event) {
			SidecarProcess.this.node.post(event);
		}

		@Override
		public void postWhenRoom(SidecarEvent event) throws InterruptedException {
			SidecarProcess.this.node.postWhenRoom(event);
		}

	}

	/**
	 * The way of what happens on links into the loop. Safe for use by several threads.
	 */
	private final class LinkReports implements EntryReports {

		@Override
		public Admission offer(SidecarEvent event) {
			return SidecarProcess.this.node.offer(event);
		}

		@Override
		public void post(SidecarEvent event) {
			SidecarProcess.this.node.post(event);
		}

		// Read on a thread of its own: a large configuration takes some milliseconds,
		// which the messages of other entries on the event loop should not wait for.
		@Override
		public void offered(VmName vm, LinkMessage.ConfigurationOffer offer) {
			SidecarProcess.this.offers.execute(() -> {
				if (SidecarProcess.this.node.configuration().offer(vm, offer.version(), offer.source())) {
					SidecarProcess.this.links.offerNewest();
				}
			});
		}

		@Override
		public void report(Notice notice) {
			SidecarProcess.this.report(notice);
		}

	}

}
