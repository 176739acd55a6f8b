package io.lentilslip.relay.process;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;
import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.Member;
import io.lentilslip.core.relay.Relay;
import io.lentilslip.core.relay.RelayEffect;
import io.lentilslip.core.relay.RelayEvent;
import io.lentilslip.core.relay.RelaySettings;
import io.lentilslip.core.relay.TurnLocation;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.core.relay.Upstream;
import io.lentilslip.core.relay.UpstreamRecordError;
import io.lentilslip.relay.http.CallerServer;
import io.lentilslip.relay.http.Dialect;
import io.lentilslip.relay.http.ReadinessServer;
import io.lentilslip.relay.net.TrafficCounter;
import io.lentilslip.relay.peer.PeerListener;
import io.lentilslip.relay.peer.Peers;
import io.lentilslip.relay.store.CompactedTopicConsumer;
import io.lentilslip.relay.store.DroppedEntryReporter;
import io.lentilslip.relay.store.EntryReader;
import io.lentilslip.relay.store.EntryWriter;
import io.lentilslip.relay.store.MeteredStore;
import io.lentilslip.relay.store.Store;
import io.lentilslip.relay.store.TextReader;
import io.lentilslip.relay.store.TextWriter;
import io.lentilslip.relay.store.Timers;
import io.lentilslip.relay.store.Topic;
import io.lentilslip.relay.upstream.UpstreamClient;
import io.lentilslip.telemetry.Notices;
import io.lentilslip.wire.relay.PeerMessage;
import io.lentilslip.wire.relay.RelayCodec;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A relay as a process: its ports, its store, its links, and the reducer between them.
 * Everything runs on one event loop's thread, except the methods that say otherwise.
 */
public final class RelayProcess implements AutoCloseable {

	/**
	 * How often it is looked whether anything is reached.
	 */
	private static final Duration CONNECTIVITY_CHECK_INTERVAL = Duration.ofMillis(250);

	/**
	 * How long a relay that drains still takes connections: the platform needs up to two
	 * of its questions, a second apart, to send no more.
	 */
	private static final Duration DRAIN_ACCEPT_TIME = Duration.ofMillis(2600);

	/**
	 * How long a relay lives on at least after it began to drain: callers that were sent
	 * here by the last question have been answered by then.
	 */
	private static final Duration MIN_DRAIN_TIME = Duration.ofMillis(3200);

	private static final String ROLE = "relay";

	private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(50);

	private static final Logger logger = LoggerFactory.getLogger(RelayProcess.class);

	private final Setup setup;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoop loop = this.group.next();

	private final Timers timers = new EventLoopTimers();

	private final SplittableRandom random;

	private final Relay relay;

	private final Notices notices;

	private final Exchanges exchanges;

	private final UpstreamClient upstreams;

	private final CallerServer callers;

	private final Store store;

	private final EntryWriter writer;

	private final EntryReader reader;

	private final TextWriter textWriter;

	private final TextReader textReader;

	private final Peers peers;

	private final ConnectivityMonitor connectivityMonitor;

	private final PauseDetector pauseDetector = new PauseDetector(CONNECTIVITY_CHECK_INTERVAL);

	private final TimerDelayMonitor timerDelayMonitor;

	private final TrafficCounter traffic = new TrafficCounter();

	private final Deque<RelayEvent> pending = new ArrayDeque<>();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private String name = "";

	private boolean reducing;

	private boolean ready;

	private boolean draining;

	/**
	 * Creates a relay without ports.
	 * @param setup what it is made of
	 */
	public RelayProcess(Setup setup) {
		this.setup = setup;
		this.notices = setup.notices();
		this.timerDelayMonitor = new TimerDelayMonitor(setup.measurements(), this.notices);
		this.random = new SplittableRandom(setup.settings().seed());
		this.relay = new Relay(setup.settings());
		this.store = new MeteredStore(setup.store().apply(this.loop), this.traffic);
		this.upstreams = new UpstreamClient(this.loop, setup.dialect(), this.timers);
		this.exchanges = new Exchanges(setup.dialect(), this.upstreams, this.timers, this::on);
		this.callers = new CallerServer(this.exchanges);
		this.peers = new Peers(this.loop, new PeerEvents(), this.timers, this.traffic);
		this.connectivityMonitor = new ConnectivityMonitor(this.timers, this.peers, this::on);
		DroppedEntryReporter givenUp = new DroppedEntryReporter(this.timers, this.notices, setup.measurements());
		this.writer = new EntryWriter(this.store, this.timers, this.random, this::turnsStored, this::contendersStored,
				this.connectivityMonitor::storeCallCompleted, givenUp::recordDropped);
		this.reader = new EntryReader(this.store, this.timers, this.random, this::entriesRead, this::caughtUp,
				this.connectivityMonitor::storeCallCompleted, this.connectivityMonitor::isolated);
		this.textWriter = new TextWriter(this.store, this.timers, this.random, setup.settings().textPartition(),
				this::textsStored, givenUp::recordDropped);
		this.textReader = new TextReader(this.store);
	}

	/**
	 * Opens the ports and begins to follow the store. May be called by any thread.
	 * @return the addresses, with the ports that were given where any would do
	 */
	public RelayAddresses start() {
		RelayAddresses wanted = this.setup.addresses();
		ReadinessServer readiness = new ReadinessServer(() -> this.ready && !this.draining, this.setup.metrics());
		RelayAddresses open = new RelayAddresses(bound(this.callers.bind(this.group, wanted.callers())),
				bound(readiness.bind(this.group, wanted.readiness())),
				bound(this.peers.open(this.group, wanted.links())));
		this.loop.execute(() -> {
			this.name = open.name();
			this.peers.setLocalAddress(this.name);
			on(new RelayEvent.ListenerStarted(this.timers.now(), this.name));
			consume();
		});
		return open;
	}

	private static InetSocketAddress bound(ChannelFuture opening) {
		return (InetSocketAddress) opening.syncUninterruptibly().channel().localAddress();
	}

	/**
	 * Lets what is under way end and takes nothing new. May be called by any thread.
	 * @return completes when nothing is under way or the limit is reached
	 */
	public CompletableFuture<Void> drain() {
		this.loop.execute(() -> {
			if (!this.draining) {
				beginDrain();
			}
		});
		return this.drained;
	}

	/**
	 * Closes everything at once. May be called by any thread.
	 */
	@Override
	public void close() {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	private void consume() {
		consume(Topic.ROUTES, new RouteTableListener());
		consume(Topic.UPSTREAMS, new UpstreamListener());
		this.reader.read();
		this.textWriter.start();
		register(() -> consume(Topic.RELAYS, this.peers));
		checkConnectivity();
	}

	private void consume(Topic topic, CompactedTopicConsumer.Listener listener) {
		new CompactedTopicConsumer(this.store, this.timers, this.random, topic, listener,
				this.connectivityMonitor::storeCallCompleted)
			.start();
	}

	/**
	 * Writes this relay's address to the store, and tries until it is there.
	 * @param then runs when it is there
	 */
	private void register(Runnable then) {
		Member self = new Member(this.name, this.setup.settings().zone(), this.setup.settings().weight());
		this.store.put(Topic.RELAYS, this.name, Optional.of(RelayCodec.encode(self)), (outcome) -> {
			if (outcome instanceof Store.AppendResult.Success) {
				then.run();
				return;
			}
			this.timers.schedule(CONNECTIVITY_CHECK_INTERVAL, () -> registerUnlessDraining(then));
		});
	}

	private void registerUnlessDraining(Runnable then) {
		if (!this.draining) {
			register(then);
		}
	}

	/**
	 * Looks before each event, not only at intervals: after a sleep, what arrived
	 * meanwhile is read before any timer runs.
	 */
	private void detectPause() {
		this.pauseDetector.check(this.timers.now(), System.currentTimeMillis())
			.ifPresent((slept) -> this.pending.add(new RelayEvent.ProcessResumed(this.timers.now(), slept)));
	}

	private void checkConnectivity() {
		this.timerDelayMonitor.recordRun(this.timers.now());
		detectPause();
		this.peers.checkLiveness();
		this.connectivityMonitor.check();
		this.setup.measurements()
			.accept(new Measurement.LinkState(Measurement.LinkState.Kind.RELAY, this.peers.connectedCount(),
					this.peers.connectedCount() + this.peers.unreachableCount()));
		this.traffic.publish(this.setup.measurements());
		this.timerDelayMonitor.expectRun(this.timers.now() + CONNECTIVITY_CHECK_INTERVAL.toMillis());
		this.timers.schedule(CONNECTIVITY_CHECK_INTERVAL, this::checkConnectivity);
	}

	private void on(RelayEvent event) {
		detectPause();
		this.pending.add(event);
		if (this.reducing) {
			return;
		}
		this.reducing = true;
		try {
			while (!this.pending.isEmpty()) {
				reduce(this.pending.pollFirst());
			}
		}
		finally {
			this.reducing = false;
		}
	}

	// A fault of a rule must not pass unseen, nor take the other exchanges with it: the
	// event is told, and its own exchange ends without a claim about what has run.
	private void reduce(RelayEvent event) {
		try {
			this.relay.handle(event).forEach(this::run);
		}
		catch (RuntimeException ex) {
			this.notices.write(NoticeCode.DECISION_FAILED.with(FieldName.REASON, ex)
				.with(FieldName.CALL, event.getClass().getSimpleName()));
			logger.error("a decision failed", ex);
			if (event instanceof RelayEvent.ExchangeEvent of) {
				this.exchanges.abort(of.exchange());
			}
		}
	}

	private void run(RelayEffect effect) {
		if (this.exchanges.run(effect)) {
			return;
		}
		switch (effect) {
			case RelayEffect.AppendEntry write -> {
				this.peers.replicate(write.replicas(), write.entry());
				this.writer.write(write.entry());
			}
			case RelayEffect.StoreText turn -> this.textWriter.write(new TurnText(turn.request(), turn.text()));
			case RelayEffect.ReadText read -> this.textReader.read(read.request(), read.locations(),
					(text) -> on(new RelayEvent.TextRead(this.timers.now(), read.request(), text)));
			case RelayEffect.RequestTextLocations ask ->
				this.peers.sendRequest(ask.peers(), new PeerMessage.TextLocationsRequest(ask.request()));
			case RelayEffect.SendTextLocations tell ->
				this.peers.send(tell.peer(), new PeerMessage.TextLocations(tell.turns()));
			case RelayEffect.RequestTexts ask ->
				this.peers.send(ask.peer(), new PeerMessage.TextsRequest(Set.copyOf(ask.requests())));
			case RelayEffect.SendTexts tell -> this.peers.send(tell.peer(), new PeerMessage.Texts(tell.texts()));
			case RelayEffect.RequestTurnWrite help ->
				this.peers.requestTurnWrite(new PeerMessage.TurnWriteRequest(help.settlement(), help.text()));
			case RelayEffect.AcknowledgeTurnWrite tell ->
				this.peers.send(tell.peer(), new PeerMessage.TurnWriteAck(Set.of(tell.request())));
			case RelayEffect.RequestReservation ask ->
				this.peers.sendRequest(ask.peers(), new PeerMessage.ReservationRequest(ask.request(), ask.program(),
						ask.maxTokens(), ask.budget(), false));
			case RelayEffect.RequestSync ignored -> this.peers.sendRequest(List.of(), new PeerMessage.SyncRequest());
			case RelayEffect.RequestLogReservation ask ->
				this.peers.send(ask.peer(), new PeerMessage.ReservationRequest(ask.request(), ask.program(),
						ask.maxTokens(), ask.budget(), true));
			case RelayEffect.SendUsage tell -> {
				this.peers.replicate(tell.peer(), tell.entries());
				this.peers.send(tell.peer(), new PeerMessage.Usage(tell.request(), tell.tokens(), tell.uncommitted(),
						tell.logReachable(), tell.loads()));
			}
			case RelayEffect.RequestPermits ask ->
				this.peers.send(ask.peer(), new PeerMessage.PermitsRequest(ask.request()));
			case RelayEffect.GrantPermits grant ->
				this.peers.send(grant.peer(), new PeerMessage.PermitsGranted(grant.reply()));
			case RelayEffect.SendUsageUnavailable tell ->
				this.peers.send(tell.peer(), new PeerMessage.UsageUnavailable(tell.request()));
			case RelayEffect.SendLogDecision tell ->
				this.peers.send(tell.peer(), new PeerMessage.LogDecision(tell.request(), tell.admitted()));
			case RelayEffect.SendSync tell -> sendSync(tell);
			case RelayEffect.ReadLog ignored -> this.reader.read();
			case RelayEffect.CatchUp ignored -> this.reader.catchUp();
			case RelayEffect.StartTimer remind -> this.timers.schedule(remind.delay(),
					() -> on(new RelayEvent.TimerFired(this.timers.now(), remind.exchange(), remind.timer())));
			case RelayEffect.ReportReadiness now -> this.ready = now.ready();
			case RelayEffect.ApplyLimits limit -> this.callers.setLimits(limit.limits());
			case RelayEffect.RecordMeasurement measure -> this.setup.measurements().accept(measure.measurement());
			case RelayEffect.WriteNotice tell -> this.notices.write(tell.notice());
			default -> throw new IllegalStateException("nothing runs " + effect);
		}
	}

	// What was told while the link was down is neither on it nor, while the store is
	// away,
	// in the log: the other relay would give a program more than its budget.
	private void sendSync(RelayEffect.SendSync tell) {
		this.peers.replicate(tell.peer(), this.writer.unacknowledged());
		this.peers.replicate(tell.peer(), tell.entries());
		if (tell.complete()) {
			this.peers.send(tell.peer(), new PeerMessage.SyncComplete());
		}
	}

	private void turnsStored(Set<String> requests) {
		on(new RelayEvent.SettlementsStored(this.timers.now(), requests));
	}

	private void textsStored(Set<String> requests, long end, Duration took) {
		on(new RelayEvent.TextsStored(this.timers.now(), requests, end, took));
	}

	private void entriesRead(List<LedgerEntry> entries) {
		on(new RelayEvent.EntriesReceived(this.timers.now(), entries, Optional.empty()));
	}

	private void contendersStored() {
		this.reader.read();
	}

	private void caughtUp(long offset, Duration took, Optional<Duration> age) {
		on(new RelayEvent.CaughtUp(this.timers.now(), offset, took, age));
	}

	private void beginDrain() {
		this.draining = true;
		this.callers.drain();
		this.notices.write(NoticeCode.DRAINING_BEGAN.with(FieldName.ROLE, ROLE)
			.with(FieldName.COUNT, this.relay.inFlight())
			.with(FieldName.LIMIT, this.setup.drainLimit()));
		this.store.put(Topic.RELAYS, this.name, Optional.empty(), (outcome) -> {
			// Where this fails, the others find a closed port, and try ever more seldom.
		});
		long began = this.timers.now();
		this.timers.schedule(DRAIN_ACCEPT_TIME, this.callers::stopAccepting);
		this.timers.schedule(MIN_DRAIN_TIME, () -> endDrain(began));
	}

	private void endDrain(long began) {
		boolean over = this.timers.now() - began > this.setup.drainLimit().toMillis();
		boolean idle = this.exchanges.size() == 0 && this.writer.size() == 0 && this.textWriter.size() == 0
				&& this.callers.connectionCount() == 0;
		if (over || idle) {
			this.notices.write(NoticeCode.DRAINING_ENDED.with(FieldName.ROLE, ROLE)
				.with(FieldName.COUNT, this.exchanges.size())
				.with(FieldName.MILLISECONDS, this.timers.now() - began));
			this.drained.complete(null);
			return;
		}
		this.callers.stopAccepting();
		this.timers.schedule(DRAIN_CHECK_INTERVAL, () -> endDrain(began));
	}

	/**
	 * What a relay is made of. Immutable.
	 *
	 * @param settings what its decisions are set to
	 * @param addresses where it listens
	 * @param drainLimit the longest time that it drains
	 * @param dialect the names and formats of callers and upstreams
	 * @param catalogue the formats of what is in the store
	 * @param store makes the store for the event loop
	 * @param notices takes notices
	 * @param measurements takes measurements
	 * @param metrics writes the metrics
	 */
	public record Setup(RelaySettings settings, RelayAddresses addresses, Duration drainLimit, Dialect dialect,
			StoreDecoder storeDecoder, Function<EventLoop, Store> store, Notices notices,
			Consumer<Measurement> measurements, Supplier<String> metrics) {

	}

	/**
	 * Runs steps on the event loop. Used by its thread.
	 */
	private final class EventLoopTimers implements Timers {

		@Override
		public void schedule(Duration delay, Runnable step) {
			RelayProcess.this.loop.schedule(step, delay.toMillis(), TimeUnit.MILLISECONDS);
		}

		@Override
		public long now() {
			return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
		}

	}

	/**
	 * Follows what operators set. Used by the event loop's thread.
	 */
	private final class RouteTableListener implements CompactedTopicConsumer.Listener {

		@Override
		public void snapshotRead(Map<String, byte[]> values) {
			values.forEach((key, value) -> recordChanged(key, Optional.of(value)));
		}

		@Override
		public void recordChanged(String key, Optional<byte[]> value) {
			if (!key.equals(RelayProcess.this.setup.storeDecoder().routeTableKey())) {
				return;
			}
			value.ifPresent((bytes) -> RelayProcess.this.setup.storeDecoder()
				.decodeRouteTable(bytes)
				.peek((table) -> on(new RelayEvent.RouteTableUpdated(RelayProcess.this.timers.now(), table)))
				.peekLeft((problem) -> RelayProcess.this.notices
					.write(NoticeCode.ROUTES_REFUSED.with(FieldName.REASON, problem))));
		}

	}

	/**
	 * Follows the list of upstreams. Used by the event loop's thread.
	 */
	private final class UpstreamListener implements CompactedTopicConsumer.Listener {

		@Override
		public void snapshotRead(Map<String, byte[]> values) {
			List<Upstream> listed = new ArrayList<>();
			Map<String, UpstreamRecordError> unusable = new HashMap<>();
			values.forEach(
					(key, value) -> decode(key, value).peek(listed::add).peekLeft((why) -> unusable.put(key, why)));
			RelayProcess.this.upstreams.retainUpstreams(listed.stream().map(Upstream::id).collect(Collectors.toSet()));
			on(new RelayEvent.UpstreamsReplaced(RelayProcess.this.timers.now(), listed));
			unusable.forEach(this::unusable);
		}

		@Override
		public void recordChanged(String key, Optional<byte[]> value) {
			if (value.isEmpty()) {
				RelayProcess.this.upstreams.removeUpstream(key);
				on(new RelayEvent.UpstreamRemoved(RelayProcess.this.timers.now(), key));
				return;
			}
			decode(key, value.get())
				.peek((upstream) -> on(new RelayEvent.UpstreamUpdated(RelayProcess.this.timers.now(), upstream)))
				.peekLeft((problem) -> unusable(key, problem));
		}

		private void unusable(String key, UpstreamRecordError problem) {
			RelayProcess.this.upstreams.removeUpstream(key);
			on(new RelayEvent.UpstreamInvalid(RelayProcess.this.timers.now(), key, problem));
		}

		private Either<UpstreamRecordError, Upstream> decode(String key, byte[] value) {
			return RelayProcess.this.setup.storeDecoder().decodeUpstream(key, value);
		}

	}

	/**
	 * Takes what other relays say. Used by the event loop's thread.
	 */
	private final class PeerEvents implements PeerListener {

		@Override
		public void entriesReceived(String peer, List<LedgerEntry> entries) {
			on(new RelayEvent.EntriesReceived(RelayProcess.this.timers.now(), entries, Optional.of(peer)));
		}

		@Override
		public void turnWriteRequested(String peer, PeerMessage.TurnWriteRequest help) {
			on(new RelayEvent.TurnWriteRequested(RelayProcess.this.timers.now(), peer, help.settlement(), help.text()));
		}

		@Override
		public void textLocationsRequested(String peer, String request) {
			on(new RelayEvent.TextLocationsRequested(RelayProcess.this.timers.now(), peer, request));
		}

		@Override
		public void textLocationsReceived(String peer, List<TurnLocation> turns) {
			on(new RelayEvent.TextLocationsReceived(RelayProcess.this.timers.now(), peer, turns));
		}

		@Override
		public void textsRequested(String peer, Set<String> requests) {
			on(new RelayEvent.TextsRequested(RelayProcess.this.timers.now(), peer, requests));
		}

		@Override
		public void textsReceived(List<TurnText> texts) {
			on(new RelayEvent.TextsReceived(RelayProcess.this.timers.now(), texts));
		}

		@Override
		public void reservationRequested(String peer, PeerMessage.ReservationRequest question) {
			on(new RelayEvent.ReservationRequested(RelayProcess.this.timers.now(), peer, question.request(),
					question.program(), question.maxTokens(), question.budget(), question.throughLog()));
		}

		@Override
		public void usageReceived(String peer, PeerMessage.Usage taken) {
			on(new RelayEvent.LoadsReceived(RelayProcess.this.timers.now(), taken.loads()));
			on(new RelayEvent.UsageReceived(RelayProcess.this.timers.now(), peer, taken.request(), taken.tokens(),
					taken.uncommitted(), taken.logReachable(), RelayProcess.this.peers.knownCount()));
		}

		@Override
		public void usageUnavailable(String peer, String request) {
			on(new RelayEvent.UsageUnavailable(RelayProcess.this.timers.now(), peer, request));
		}

		@Override
		public void syncRequested(String peer) {
			on(new RelayEvent.SyncRequested(RelayProcess.this.timers.now(), peer));
		}

		@Override
		public void membershipUpdated(List<Member> members) {
			on(new RelayEvent.MembershipUpdated(RelayProcess.this.timers.now(), members));
		}

		@Override
		public void logDecisionReceived(PeerMessage.LogDecision place) {
			on(new RelayEvent.LogDecisionReceived(RelayProcess.this.timers.now(), place.request(), place.admitted()));
		}

		@Override
		public void permitsRequested(String peer, PermitRequest ask) {
			on(new RelayEvent.PermitsRequested(RelayProcess.this.timers.now(), peer, ask));
		}

		@Override
		public void permitsGranted(String peer, PermitReply reply) {
			on(new RelayEvent.PermitsGranted(RelayProcess.this.timers.now(), peer, reply));
		}

		@Override
		public void syncCompleted(String peer) {
			on(new RelayEvent.SyncCompleted(RelayProcess.this.timers.now(), peer,
					RelayProcess.this.peers.knownCount()));
		}

		@Override
		public void turnWritesAcknowledged(Set<String> requests) {
			on(new RelayEvent.TurnWritesAcknowledged(RelayProcess.this.timers.now(), requests));
		}

		@Override
		public void peerUnreachable(String peer) {
			RelayProcess.this.notices.write(NoticeCode.PEER_FORGOTTEN.with(FieldName.ADDRESS, peer));
			RelayProcess.this.store.put(Topic.RELAYS, peer, Optional.empty(), (outcome) -> {
				// Where this fails, the address is tried on, and dropped later.
			});
		}

		@Override
		public void addressRemoved() {
			// One that can't reach this relay has dropped its address; those that can
			// need
			// it.
			registerUnlessDraining(() -> {
			});
		}

		@Override
		public void peerConnected(String peer) {
			RelayProcess.this.notices.write(NoticeCode.PEER_LINKED.with(FieldName.ADDRESS, peer));
			on(new RelayEvent.PeerConnected(RelayProcess.this.timers.now(), peer));
		}

		@Override
		public void peerDisconnected(String peer, String reason) {
			RelayProcess.this.notices
				.write(NoticeCode.PEER_LOST.with(FieldName.ADDRESS, peer).with(FieldName.REASON, reason));
			on(new RelayEvent.PeerDisconnected(RelayProcess.this.timers.now(), peer));
		}

	}

}
