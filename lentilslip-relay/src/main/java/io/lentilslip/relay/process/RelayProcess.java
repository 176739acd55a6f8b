package io.lentilslip.relay.process;

import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.lentilslip.core.measurement.CollectionName;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.CallerShed.Cause;
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
import io.lentilslip.core.relay.RunId;
import io.lentilslip.core.relay.TurnLocation;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.core.relay.Upstream;
import io.lentilslip.core.relay.UpstreamRecordError;
import io.lentilslip.relay.http.CallerServer;
import io.lentilslip.relay.http.Dialect;
import io.lentilslip.relay.http.InvalidPart;
import io.lentilslip.relay.http.ReadinessServer;
import io.lentilslip.relay.net.ArrivalClock;
import io.lentilslip.relay.net.HeldBytes;
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
import io.lentilslip.relay.upstream.ResponseProblemListener;
import io.lentilslip.relay.upstream.UnmatchedResponse;
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
 * A relay process: connects the relay's reducer with its ports, the store and the links
 * to other relays. Everything runs on a single event loop, except for methods that state
 * otherwise.
 */
public final class RelayProcess implements AutoCloseable {

	private static final Duration CONNECTIVITY_CHECK_INTERVAL = Duration.ofMillis(250);

	/**
	 * How long a draining relay still accepts connections: the platform stops sending
	 * callers after up to two failed readiness checks, one second apart.
	 */
	private static final Duration DRAIN_ACCEPT_TIME = Duration.ofMillis(2600);

	/**
	 * The minimum duration of a drain, so that callers routed here before the last
	 * readiness check receive their responses.
	 */
	private static final Duration MIN_DRAIN_TIME = Duration.ofMillis(3200);

	private static final String ROLE = "relay";

	private static final String NONE = "none";

	private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(50);

	private static final Logger logger = LoggerFactory.getLogger(RelayProcess.class);

	private final Setup setup;

	private final ArrivalClock arrivalClock = new ArrivalClock(RelayProcess::monotonicMillis);

	private final NioEventLoopGroup group = new NioEventLoopGroup(1, (ThreadFactory) null, SelectorProvider.provider(),
			() -> this.arrivalClock);

	private final EventLoop loop = this.group.next();

	private final Timers timers = new EventLoopTimers(this.loop, this.arrivalClock, RelayProcess::monotonicMillis);

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

	private final CompactedTopicConsumer upstreamConsumer;

	private final CompactedTopicConsumer routeConsumer;

	private final ConnectivityMonitor connectivityMonitor;

	private final PauseDetector pauseDetector = new PauseDetector(CONNECTIVITY_CHECK_INTERVAL);

	private final EventTimes eventTimes = new EventTimes();

	private final TimerDelayMonitor timerDelayMonitor;

	private final TrafficCounter traffic = new TrafficCounter();

	private final Deque<RelayEvent> pending = new ArrayDeque<>();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private String name = "";

	private boolean reducing;

	private boolean ready;

	private boolean draining;

	/**
	 * Creates a relay that does not listen yet.
	 * @param setup the dependencies and settings
	 */
	public RelayProcess(Setup setup) {
		this.setup = setup;
		this.notices = setup.notices();
		this.timerDelayMonitor = new TimerDelayMonitor(setup.measurements(), this.notices, this.eventTimes::takeLongest,
				new CollectorTime()::takeElapsed);
		this.random = new SplittableRandom(setup.settings().seed());
		this.relay = new Relay(setup.settings());
		this.store = new MeteredStore(setup.store().apply(this.loop), this.traffic);
		this.upstreams = new UpstreamClient(this.loop, setup.dialect(), this.timers, setup.heldBytes(),
				new UpstreamProblems());
		this.exchanges = new Exchanges(setup.dialect(), this.upstreams, this.timers, this::on);
		this.callers = new CallerServer(this.exchanges, this.timers, setup.heldBytes(), setup.maxCallerConnections(),
				this::callerShed);
		this.peers = new Peers(this.loop, new PeerEvents(), this.timers, this.traffic);
		this.connectivityMonitor = new ConnectivityMonitor(this.timers, this.peers, this::on);
		DroppedEntryReporter dropReporter = new DroppedEntryReporter(this.timers, this.notices, setup.measurements());
		this.writer = new EntryWriter(this.store, this.timers, this.random, this::turnsStored, this::renewalsStored,
				this::streamAttemptsStored, this::conditionalReservationsStored,
				this.connectivityMonitor::storeCallCompleted, dropReporter::recordDropped);
		this.reader = new EntryReader(this.store, this.timers, this.random, new LogListener(), this::caughtUp,
				this.connectivityMonitor::storeCallCompleted, this.connectivityMonitor::isolated,
				(ex) -> reportFailure(Topic.ENTRIES, ex));
		this.textWriter = new TextWriter(this.store, this.timers, this.random, setup.settings().textPartition(),
				setup.settings().maxRecordBytes(), this::textsStored, dropReporter::recordDropped);
		this.textReader = new TextReader(this.store);
		this.upstreamConsumer = consumer(Topic.UPSTREAMS, new UpstreamListener());
		this.routeConsumer = consumer(Topic.ROUTES, new RouteTableListener());
	}

	/**
	 * Binds the ports and starts consuming the store. May be called by any thread.
	 * @return the bound addresses, with the ports that were assigned
	 */
	public RelayAddresses start() {
		RelayAddresses addresses = this.setup.addresses();
		ReadinessServer readiness = new ReadinessServer(() -> this.ready && !this.draining, this.setup.metrics());
		RelayAddresses bound = new RelayAddresses(bound(this.callers.bind(this.group, addresses.callers())),
				bound(readiness.bind(this.group, addresses.readiness())),
				bound(this.peers.bind(this.group, addresses.links())));
		this.loop.execute(() -> {
			this.name = bound.name();
			this.peers.setLocalAddress(this.name);
			on(new RelayEvent.ListenerStarted(this.timers.now(), this.name));
			consume();
		});
		return bound;
	}

	private static InetSocketAddress bound(ChannelFuture future) {
		return (InetSocketAddress) future.syncUninterruptibly().channel().localAddress();
	}

	/**
	 * Stops accepting requests and waits for those in flight. May be called by any
	 * thread.
	 * @return completes when nothing is in flight or the time limit is reached
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
	 * Closes all connections immediately. May be called by any thread.
	 */
	@Override
	public void close() {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	private void consume() {
		this.routeConsumer.start();
		this.upstreamConsumer.start();
		this.reader.read();
		this.textWriter.start();
		register(() -> consumer(Topic.RELAYS, this.peers).start());
		checkConnectivity();
		if (this.setup.settings().logRetention().isPositive()) {
			startRenewalRounds();
		}
	}

	private void startRenewalRounds() {
		this.timers.schedule(this.setup.settings().renewalInterval(), () -> {
			on(new RelayEvent.RenewalRoundStarted(this.timers.now()));
			startRenewalRounds();
		});
	}

	private CompactedTopicConsumer consumer(Topic topic, CompactedTopicConsumer.Listener listener) {
		return new CompactedTopicConsumer(this.store, this.timers, this.random, topic, listener,
				this.connectivityMonitor::storeCallCompleted, (ex) -> reportFailure(topic, ex));
	}

	// Without the stack trace: another writer may repeat the record at any rate, and only
	// notices have a rate limit.
	private void reportFailure(Topic topic, Throwable cause) {
		this.notices.write(NoticeCode.DECISION_FAILED.with(FieldName.CALL, topic.name()).with(FieldName.REASON, cause));
		logger.debug("Failed to handle records of topic {}", topic, cause);
	}

	/**
	 * Writes this relay's address to the store, retrying until it succeeds.
	 * @param callback runs after success
	 */
	private void register(Runnable callback) {
		Member member = new Member(this.name, this.setup.settings().zone(), this.setup.settings().weight());
		this.store.put(Topic.RELAYS, this.name, Optional.of(RelayCodec.encode(member)), (result) -> {
			if (result instanceof Store.AppendResult.Success) {
				callback.run();
				return;
			}
			this.timers.schedule(CONNECTIVITY_CHECK_INTERVAL, () -> registerUnlessDraining(callback));
		});
	}

	private void registerUnlessDraining(Runnable callback) {
		if (!this.draining) {
			register(callback);
		}
	}

	/**
	 * Checks for a pause before each event too, since events that arrived during a pause
	 * are handled before any timer.
	 */
	private void detectPause() {
		this.pauseDetector.check(this.timers.now(), System.currentTimeMillis())
			.ifPresent((pause) -> this.pending.add(new RelayEvent.ProcessResumed(this.timers.now(), pause)));
	}

	private void checkConnectivity() {
		on(new RelayEvent.EventLoopDelayed(this.timers.now(), this.timerDelayMonitor.recordRun(this.timers.now())));
		detectPause();
		this.peers.checkLiveness();
		this.connectivityMonitor.check();
		this.setup.measurements()
			.accept(new Measurement.LinkState(Measurement.LinkState.Kind.RELAY, this.peers.connectedCount(),
					this.peers.connectedCount() + this.peers.unreachableCount()));
		this.traffic.publish(this.setup.measurements());
		this.eventTimes.publish(this.setup.measurements());
		this.setup.measurements()
			.accept(new Measurement.CollectionSize(CollectionName.HELD_BYTES, this.setup.heldBytes().held(),
					this.setup.heldBytes().limit()));
		this.relay.collectionSizes().forEach(this.setup.measurements());
		this.timerDelayMonitor.expectRun(this.timers.now() + CONNECTIVITY_CHECK_INTERVAL.toMillis());
		this.timers.schedule(CONNECTIVITY_CHECK_INTERVAL, this::checkConnectivity);
	}

	private static long monotonicMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	private void on(RelayEvent event) {
		this.arrivalClock.recordEvent();
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

	// An exception must be reported and must not affect other exchanges: the event is
	// logged, and its exchange is aborted without a statement on whether the request
	// ran.
	private void reduce(RelayEvent event) {
		long startedAt = System.nanoTime();
		try {
			this.relay.handle(event).forEach(this::run);
		}
		catch (RuntimeException ex) {
			this.notices.write(NoticeCode.DECISION_FAILED.with(FieldName.REASON, ex)
				.with(FieldName.CALL, event.getClass().getSimpleName()));
			logger.error("Failed to handle an event", ex);
			if (event instanceof RelayEvent.ExchangeEvent exchangeEvent) {
				this.exchanges.abort(exchangeEvent.exchange());
			}
		}
		finally {
			this.eventTimes.record(event.getClass(), System.nanoTime() - startedAt);
		}
	}

	private void run(RelayEffect effect) {
		if (this.exchanges.run(effect)) {
			return;
		}
		switch (effect) {
			case RelayEffect.AppendEntry append -> {
				this.peers.replicate(append.replicas(), append.entry());
				this.writer.write(append.entry());
			}
			case RelayEffect.FlushEntries ignored -> this.writer.flush();
			case RelayEffect.StoreText storeText ->
				this.textWriter.write(new TurnText(storeText.run(), storeText.text()));
			case RelayEffect.ReadText read -> this.textReader.read(read.run(), read.locations(),
					(text) -> on(new RelayEvent.TextRead(this.timers.now(), read.run(), text)));
			case RelayEffect.RequestTextLocations request ->
				this.peers.sendRequest(request.peers(), new PeerMessage.TextLocationsRequest(request.request()));
			case RelayEffect.SendTextLocations response ->
				this.peers.send(response.peer(), new PeerMessage.TextLocations(response.turns()));
			case RelayEffect.RequestStreamVersion request ->
				this.peers.sendRequest(request.peers(), new PeerMessage.StreamVersionRequest(request.request()));
			case RelayEffect.SendStreamVersion response ->
				this.peers.send(response.peer(), new PeerMessage.StreamVersion(response.run(), response.attempt()));
			case RelayEffect.RequestTexts request ->
				this.peers.send(request.peer(), new PeerMessage.TextsRequest(Set.copyOf(request.requests())));
			case RelayEffect.SendTexts response ->
				this.peers.send(response.peer(), new PeerMessage.Texts(response.texts()));
			case RelayEffect.RequestTurnWrite write ->
				this.peers.requestTurnWrite(new PeerMessage.TurnWriteRequest(write.settlement(), write.text()));
			case RelayEffect.AcknowledgeTurnWrite response ->
				this.peers.send(response.peer(), new PeerMessage.TurnWriteAck(Set.of(response.run())));
			case RelayEffect.RequestReservation request ->
				this.peers.sendRequest(request.peers(), new PeerMessage.ReservationRequest(request.run(),
						request.program(), request.maxTokens(), request.budget(), false));
			case RelayEffect.RequestSync ignored -> this.peers.sendRequest(List.of(), new PeerMessage.SyncRequest());
			case RelayEffect.RequestLogReservation request ->
				this.peers.send(request.peer(), new PeerMessage.ReservationRequest(request.run(), request.program(),
						request.maxTokens(), request.budget(), true));
			case RelayEffect.SendUsage response -> {
				this.peers.replicate(response.peer(), response.entries());
				this.peers.send(response.peer(), new PeerMessage.Usage(response.run(), response.tokens(),
						response.uncommitted(), response.logReachable(), response.loads()));
			}
			case RelayEffect.RequestPermits request ->
				this.peers.send(request.peer(), new PeerMessage.PermitsRequest(request.request()));
			case RelayEffect.GrantPermits grant ->
				this.peers.send(grant.peer(), new PeerMessage.PermitsGranted(grant.reply()));
			case RelayEffect.SendUsageUnavailable response ->
				this.peers.send(response.peer(), new PeerMessage.UsageUnavailable(response.run()));
			case RelayEffect.SendLogDecision response ->
				this.peers.send(response.peer(), new PeerMessage.LogDecision(response.run(), response.admitted()));
			case RelayEffect.SendSync response -> sendSync(response);
			case RelayEffect.ReadLog ignored -> this.reader.read();
			case RelayEffect.CatchUp ignored -> this.reader.catchUp();
			case RelayEffect.ConfirmUpstreams confirm -> this.upstreamConsumer.confirm(() -> this.routeConsumer
				.confirm(() -> on(new RelayEvent.UpstreamsConfirmed(this.timers.now(), confirm.confirmation()))));
			case RelayEffect.StartTimer start -> this.timers.schedule(start.delay(),
					() -> on(new RelayEvent.TimerFired(this.timers.now(), start.exchange(), start.timer())));
			case RelayEffect.ReportReadiness report -> this.ready = report.ready();
			case RelayEffect.ApplyLimits apply -> this.callers.setLimits(apply.limits());
			case RelayEffect.RecordMeasurement recording -> this.setup.measurements().accept(recording.measurement());
			case RelayEffect.WriteNotice write -> this.notices.write(write.notice());
			default -> throw new IllegalStateException("unhandled effect: " + effect);
		}
	}

	// Entries that were sent while the link was down are lost, and the log does not
	// contain them during an outage of the store. Without them the other relay could
	// exceed a program's budget.
	private void sendSync(RelayEffect.SendSync sync) {
		this.peers.replicate(sync.peer(), this.writer.unacknowledged());
		this.peers.replicate(sync.peer(), sync.entries());
		if (sync.complete()) {
			this.peers.send(sync.peer(), new PeerMessage.SyncComplete());
		}
	}

	private void turnsStored(Set<RunId> runs) {
		on(new RelayEvent.SettlementsStored(this.timers.now(), runs));
	}

	private void renewalsStored(Set<RunId> runs) {
		on(new RelayEvent.RenewalsStored(this.timers.now(), runs));
	}

	private void streamAttemptsStored(Map<RunId, Integer> attempts) {
		on(new RelayEvent.StreamAttemptsStored(this.timers.now(), attempts));
	}

	private void textsStored(Set<RunId> runs, long firstOffset, long endOffset, Duration latency) {
		on(new RelayEvent.TextsStored(this.timers.now(), runs, firstOffset, endOffset, latency));
	}

	private void conditionalReservationsStored() {
		this.reader.read();
	}

	private void caughtUp(long offset, Duration duration, Optional<Duration> idle) {
		on(new RelayEvent.CaughtUp(this.timers.now(), offset, duration, idle));
	}

	private void callerShed(Cause cause) {
		this.setup.measurements().accept(new Measurement.CallerShed(cause));
		this.notices.write(NoticeCode.CALLER_SHED.with(FieldName.REASON, cause)
			.with(FieldName.COUNT, this.callers.connectionCount()));
	}

	private void beginDrain() {
		this.draining = true;
		this.callers.drain();
		this.notices.write(NoticeCode.DRAINING_BEGAN.with(FieldName.ROLE, ROLE)
			.with(FieldName.COUNT, this.relay.inFlight())
			.with(FieldName.LIMIT, this.setup.drainLimit()));
		this.store.put(Topic.RELAYS, this.name, Optional.empty(), (result) -> {
			// On failure, the other relays find the port closed and back off.
		});
		long startedAt = this.timers.now();
		Duration limit = this.setup.drainLimit();
		Duration acceptTime = min(DRAIN_ACCEPT_TIME, limit.dividedBy(2));
		on(new RelayEvent.DrainStarted(startedAt, startedAt + acceptTime.toMillis(), startedAt + limit.toMillis()));
		this.timers.schedule(acceptTime, this.callers::stopAccepting);
		this.timers.schedule(min(MIN_DRAIN_TIME, limit), () -> endDrain(startedAt));
	}

	private static Duration min(Duration one, Duration other) {
		return (one.compareTo(other) < 0) ? one : other;
	}

	private void endDrain(long startedAt) {
		boolean timedOut = this.timers.now() - startedAt >= this.setup.drainLimit().toMillis();
		boolean idle = this.exchanges.size() == 0 && this.writer.size() == 0 && this.textWriter.size() == 0
				&& this.callers.connectionCount() == 0;
		if (timedOut || idle) {
			this.notices.write(NoticeCode.DRAINING_ENDED.with(FieldName.ROLE, ROLE)
				.with(FieldName.COUNT, this.exchanges.size())
				.with(FieldName.MILLISECONDS, this.timers.now() - startedAt));
			on(new RelayEvent.DrainEnded(this.timers.now()));
			// The responses to what is still in flight are written first.
			this.timers.schedule(DRAIN_CHECK_INTERVAL, () -> this.drained.complete(null));
			return;
		}
		this.callers.stopAccepting();
		this.timers.schedule(DRAIN_CHECK_INTERVAL, () -> endDrain(startedAt));
	}

	/**
	 * The dependencies and settings of a relay. Immutable.
	 *
	 * @param settings the settings of the reducer
	 * @param addresses the addresses to listen at
	 * @param drainLimit the maximum duration of a drain
	 * @param dialect the header names and formats of callers and upstreams
	 * @param storeDecoder decodes operators' and upstreams' records of the store
	 * @param store creates the store client for the event loop
	 * @param notices receives notices
	 * @param measurements receives measurements
	 * @param metrics returns the metrics page
	 * @param heldBytes bounds what is held for callers
	 * @param maxCallerConnections the maximum number of connections of callers
	 */
	public record Setup(RelaySettings settings, RelayAddresses addresses, Duration drainLimit, Dialect dialect,
			StoreDecoder storeDecoder, Function<EventLoop, Store> store, Notices notices,
			Consumer<Measurement> measurements, Supplier<String> metrics, HeldBytes heldBytes,
			int maxCallerConnections) {

	}

	/**
	 * Handles reads of the log. Used by the event loop's thread.
	 */
	private final class LogListener implements EntryReader.EntryListener {

		@Override
		public void entriesRead(List<LedgerEntry> entries, List<Duration> ages) {
			on(new RelayEvent.EntriesReceived(RelayProcess.this.timers.now(), entries, Optional.empty(), ages));
		}

		@Override
		public void endRead(long sentAt) {
			on(new RelayEvent.LogEndRead(RelayProcess.this.timers.now(), sentAt));
		}

	}

	/**
	 * Reports what upstreams send that is not passed on. Used by the event loop's thread.
	 */
	private final class UpstreamProblems implements ResponseProblemListener {

		@Override
		public void onUnmatched(UnmatchedResponse unmatched) {
			RelayProcess.this.setup.measurements().accept(new Measurement.ResponseUnmatched(unmatched.kind()));
			OptionalInt status = unmatched.status();
			RelayProcess.this.notices
				.write(NoticeCode.RESPONSE_UNMATCHED.with(FieldName.REQUEST, unmatched.named().orElse(NONE))
					.with(FieldName.EXPECTED, unmatched.expected().orElse(NONE))
					.with(FieldName.UPSTREAM, unmatched.upstream())
					.with(FieldName.REASON, unmatched.kind())
					.with(FieldName.STATUS, status.isPresent() ? status.getAsInt() : NONE)
					.with(FieldName.COUNT, unmatched.requestCount()));
		}

		@Override
		public void onInvalid(String upstream, String request, InvalidPart part) {
			RelayProcess.this.notices.write(NoticeCode.RESPONSE_INVALID.with(FieldName.REQUEST, request)
				.with(FieldName.UPSTREAM, upstream)
				.with(FieldName.REASON, part));
		}

	}

	/**
	 * Handles changes of the route table. Used by the event loop's thread.
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
				.peekLeft((error) -> RelayProcess.this.notices
					.write(NoticeCode.ROUTES_REFUSED.with(FieldName.REASON, error))));
		}

	}

	/**
	 * Handles changes of the registered upstreams. Used by the event loop's thread.
	 */
	private final class UpstreamListener implements CompactedTopicConsumer.Listener {

		@Override
		public void snapshotRead(Map<String, byte[]> values) {
			List<Upstream> upstreams = new ArrayList<>();
			Map<String, UpstreamRecordError> invalid = new HashMap<>();
			values.forEach((key, value) -> decode(key, value).peek(upstreams::add)
				.peekLeft((error) -> invalid.put(key, error)));
			RelayProcess.this.upstreams
				.retainUpstreams(upstreams.stream().map(Upstream::id).collect(Collectors.toSet()));
			on(new RelayEvent.UpstreamsReplaced(RelayProcess.this.timers.now(), upstreams));
			invalid.forEach(this::invalid);
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
				.peekLeft((error) -> invalid(key, error));
		}

		@Override
		public void changesMissed() {
			on(new RelayEvent.UpstreamChangesMissed(RelayProcess.this.timers.now()));
		}

		private void invalid(String key, UpstreamRecordError error) {
			RelayProcess.this.upstreams.removeUpstream(key);
			on(new RelayEvent.UpstreamInvalid(RelayProcess.this.timers.now(), key, error));
		}

		// A record that makes the decoder fail must not hide the others of a snapshot.
		private Either<UpstreamRecordError, Upstream> decode(String key, byte[] value) {
			try {
				return RelayProcess.this.setup.storeDecoder().decodeUpstream(key, value);
			}
			catch (RuntimeException | StackOverflowError ex) {
				logger.debug("Failed to decode the record of upstream {}", key, ex);
				return Either.left(UpstreamRecordError.UNREADABLE);
			}
		}

	}

	/**
	 * Converts messages of other relays to events. Used by the event loop's thread.
	 */
	private final class PeerEvents implements PeerListener {

		@Override
		public void entriesReceived(String peer, List<LedgerEntry> entries) {
			on(new RelayEvent.EntriesReceived(RelayProcess.this.timers.now(), entries, Optional.of(peer)));
		}

		@Override
		public void turnWriteRequested(String peer, PeerMessage.TurnWriteRequest request) {
			on(new RelayEvent.TurnWriteRequested(RelayProcess.this.timers.now(), peer, request.settlement(),
					request.text()));
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
		public void streamVersionRequested(String peer, String request) {
			on(new RelayEvent.StreamVersionRequested(RelayProcess.this.timers.now(), peer, request));
		}

		@Override
		public void streamVersionReceived(PeerMessage.StreamVersion version) {
			on(new RelayEvent.StreamVersionReceived(RelayProcess.this.timers.now(), version.run(), version.attempt()));
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
		public void reservationRequested(String peer, PeerMessage.ReservationRequest request) {
			on(new RelayEvent.ReservationRequested(RelayProcess.this.timers.now(), peer, request.run(),
					request.program(), request.maxTokens(), request.budget(), request.throughLog()));
		}

		@Override
		public void usageReceived(String peer, PeerMessage.Usage usage) {
			on(new RelayEvent.LoadsReceived(RelayProcess.this.timers.now(), usage.loads()));
			on(new RelayEvent.UsageReceived(RelayProcess.this.timers.now(), peer, usage.run(), usage.tokens(),
					usage.uncommitted(), usage.logReachable(), RelayProcess.this.peers.knownCount()));
		}

		@Override
		public void usageUnavailable(String peer, RunId run) {
			on(new RelayEvent.UsageUnavailable(RelayProcess.this.timers.now(), peer, run));
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
		public void logDecisionReceived(PeerMessage.LogDecision decision) {
			on(new RelayEvent.LogDecisionReceived(RelayProcess.this.timers.now(), decision.run(), decision.admitted()));
		}

		@Override
		public void permitsRequested(String peer, PermitRequest request) {
			on(new RelayEvent.PermitsRequested(RelayProcess.this.timers.now(), peer, request));
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
		public void turnWritesAcknowledged(Set<RunId> runs) {
			on(new RelayEvent.TurnWritesAcknowledged(RelayProcess.this.timers.now(), runs));
		}

		@Override
		public void peerUnreachable(String peer) {
			RelayProcess.this.notices.write(NoticeCode.PEER_FORGOTTEN.with(FieldName.ADDRESS, peer));
			RelayProcess.this.store.put(Topic.RELAYS, peer, Optional.empty(), (result) -> {
				// On failure, reconnecting continues and the address is removed later.
			});
		}

		@Override
		public void addressRemoved() {
			// A relay that cannot reach this one removed its address; others still need
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
