package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.lentilslip.core.call.Header;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.quota.QuotaTolerance;

/**
 * A relay at a small site, driven event by event.
 */
final class RelayFixture {

	static final String ENGINE = "engine";

	static final String SHOP = "shop";

	static final int TOKENS_PER_EVENT = 10;

	static final ResponseHead SIGNED = new ResponseHead(200, List.of(new Header("Stamp", "s")), false, true,
			Optional.empty());

	static final ResponseHead UNSIGNED = new ResponseHead(200, List.of(), false, false, Optional.empty());

	static final ResponseHead MISDIRECTED = new ResponseHead(421, List.of(), true, false, Optional.empty());

	static final ResponseHead FULL = new ResponseHead(503, List.of(), true, false, Optional.empty());

	static final int TEXT_PARTITION = 3;

	static final Duration LOG_RETENTION = Duration.ofSeconds(20);

	private static final long SEED = 7;

	final List<RelayEffect> all = new ArrayList<>();

	private final Relay relay;

	private long now = 1000;

	private long exchange;

	private boolean caughtUp;

	private RelayFixture(boolean bootstrap, long seed) {
		this(bootstrap, seed, true);
	}

	private RelayFixture(boolean bootstrap, long seed, boolean admission) {
		this.relay = new Relay(new RelaySettings("zone-a", 100, seed, 1_000_000, 1000, 1_000_000, 1000, TEXT_PARTITION,
				bootstrap, QuotaTolerance.standard(), LOG_RETENTION, admission));
	}

	/**
	 * Returns a ready relay at a site that starts for the first time.
	 * @return the relay
	 */
	static RelayFixture ready() {
		return ready(SEED);
	}

	/**
	 * Returns a ready relay at a site that starts for the first time.
	 * @param seed the seed of its random choices
	 * @return the relay
	 */
	static RelayFixture ready(long seed) {
		return makeReady(configured(true, seed));
	}

	private static RelayFixture makeReady(RelayFixture fixture) {
		fixture.handle(caughtUp(fixture.now));
		fixture.handle(textOffsetKnown(fixture.now));
		fixture.all.clear();
		return fixture;
	}

	/**
	 * Returns a relay that is ready except for the end offset of its text partition.
	 * @return the relay
	 */
	static RelayFixture beforeTextOffset() {
		RelayFixture fixture = configured(true, SEED);
		fixture.handle(caughtUp(fixture.now));
		return fixture;
	}

	/**
	 * Returns a ready relay after the loss of all relays.
	 * @return the relay
	 */
	static RelayFixture readyAfterRestart() {
		return makeReady(afterRestart());
	}

	/**
	 * Returns a restarted relay that has not read the log yet.
	 * @return the relay
	 */
	static RelayFixture afterRestart() {
		return configured(false, SEED);
	}

	/**
	 * Returns a ready relay that does not refuse programs for load.
	 * @return the relay
	 */
	static RelayFixture withoutAdmission() {
		return makeReady(configured(new RelayFixture(true, SEED, false)));
	}

	private static RelayFixture configured(boolean bootstrap, long seed) {
		return configured(new RelayFixture(bootstrap, seed));
	}

	private static RelayFixture configured(RelayFixture fixture) {
		fixture.handle(new RelayEvent.RouteTableUpdated(fixture.now, table()));
		fixture.handle(new RelayEvent.UpstreamsReplaced(fixture.now, List.of(upstream("e1", ENGINE),
				upstream("e2", ENGINE), upstream("s1", SHOP), upstream("s2", SHOP), upstream("s3", SHOP))));
		return fixture;
	}

	static RelayEvent caughtUp(long now) {
		return new RelayEvent.CaughtUp(now, 7, Duration.ofMillis(30), Optional.empty());
	}

	static RelayEvent textOffsetKnown(long now) {
		return new RelayEvent.TextsStored(now, Set.of(), 0, 0, Duration.ZERO);
	}

	static RelayFixture unconfiguredAfterRestart() {
		return new RelayFixture(false, SEED);
	}

	static RelayFixture unconfigured() {
		return new RelayFixture(true, SEED);
	}

	static RouteTable table() {
		Map<String, RouteTable.Service> services = Map.of(ENGINE,
				new RouteTable.Service(ENGINE, 100, Optional.of(new RouteTable.Engine(8, 100_000, TOKENS_PER_EVENT))),
				SHOP, new RouteTable.Service(SHOP, 100, Optional.empty()));
		return new RouteTable(1,
				List.of(route("chat", Repeatability.STREAM, false, true, ENGINE),
						route("draft", Repeatability.STREAM, true, false, ENGINE),
						route("look", Repeatability.IDEMPOTENT, false, false, SHOP),
						route("order", Repeatability.AT_MOST_ONCE, false, false, SHOP)),
				services, RouteTable.Limits.defaults(), Optional.empty());
	}

	static Route route(String name, Repeatability repeatability, boolean resumable, boolean storesTurns,
			String service) {
		return new Route(name, "host", "/" + name + "/", repeatability, Duration.ofSeconds(4), Duration.ofMillis(200),
				2, 0, resumable, storesTurns, Duration.ofSeconds(60), false, false,
				List.of(new Route.WeightedService(service, 1)));
	}

	static Upstream upstream(String id, String service) {
		return new Upstream(id, service, "10.0.0.1", 80, "zone-a", 6, false, OptionalLong.empty(), "v1");
	}

	static Upstream engine(String id, String version, boolean draining) {
		return new Upstream(id, ENGINE, "10.0.0.1", 80, "zone-a", 6, draining, OptionalLong.empty(), version);
	}

	static Upstream withStartTime(String id, String service, long born) {
		return new Upstream(id, service, "10.0.0.1", 80, "zone-a", 6, false, OptionalLong.of(born), "v1");
	}

	static RequestHead.Turn turn(String program, long budget, int maxTokens, String previous) {
		return new RequestHead.Turn(program, OptionalLong.of(budget), maxTokens, Optional.ofNullable(previous));
	}

	static RequestHead head(String id, String route, Optional<RequestHead.Turn> turn) {
		return new RequestHead(id, "host", "/" + route + "/x", Optional.of(Duration.ofSeconds(3)), turn, List.of(), 0,
				Optional.empty(), Optional.empty(), RequestHead.Origin.UNKNOWN);
	}

	/**
	 * Returns the head of a request that resumes a stream.
	 * @param id the request id
	 * @param origin the request that started the stream; null if the caller does not name
	 * it
	 * @param lastEvent the number of the last event that the caller received
	 * @return the head
	 */
	static RequestHead resuming(String id, String origin, long lastEvent) {
		RequestHead head = head(id, "draft", Optional.of(turn("p", 10_000, 100, null)));
		return new RequestHead(id, head.host(), head.path(), head.callerTimeout(), head.turn(), head.prompt(), 0,
				Optional.of(new RequestHead.Resumption(lastEvent, Optional.ofNullable(origin))), Optional.empty(),
				head.origin());
	}

	boolean caughtUp() {
		return this.caughtUp;
	}

	List<RelayEffect> handle(RelayEvent event) {
		this.caughtUp = this.caughtUp || event instanceof RelayEvent.CaughtUp;
		List<RelayEffect> effects = this.relay.handle(event);
		this.all.addAll(effects);
		return effects;
	}

	long usedTokens(String program) {
		return this.relay.usedTokens(program);
	}

	List<Measurement.CollectionSize> collectionSizes() {
		return this.relay.collectionSizes();
	}

	long now() {
		return this.now;
	}

	void advance(long milliseconds) {
		this.now += milliseconds;
	}

	/**
	 * Returns the digest in the failures of requests that were sent without content of
	 * their own.
	 * @param path the path of the requests
	 * @return the digest
	 */
	static long digest(String path) {
		return PoisonRequests.contentDigest(path.hashCode());
	}

	/**
	 * Returns the entries for the failure of an upstream that ran a request without
	 * content of its own.
	 * @param id the request id
	 * @param route the route of the request
	 * @param incarnation the incarnation of the upstream
	 * @return the entries
	 */
	static List<LedgerEntry> failures(String id, String route, String incarnation) {
		RequestHead head = head(id, route, Optional.empty());
		return List.of(new LedgerEntry.UpstreamFailed(id, Exchange.targetDigest(head, 0), incarnation),
				new LedgerEntry.UpstreamFailed(id, digest(head.path()), incarnation));
	}

	List<RelayEffect> sendRequest(String id, String route) {
		return sendRequest(head(id, route, Optional.empty()), "body");
	}

	List<RelayEffect> sendTurn(String id, String route, RequestHead.Turn turn) {
		return sendRequest(head(id, route, Optional.of(turn)), "input of " + id + ";");
	}

	List<RelayEffect> sendRequest(RequestHead head, String body) {
		return sendRequest(head, body, this.now);
	}

	List<RelayEffect> sendRequest(RequestHead head, String body, long headReadAt) {
		this.exchange++;
		return handle(new RelayEvent.RequestReceived(this.now, headReadAt, this.exchange, head, body.getBytes(),
				head.path().hashCode()));
	}

	/**
	 * Sends a request for one target, whose content may differ from that of others.
	 * @param id the request id
	 * @param route the route
	 * @param target the path after the prefix of the route
	 * @param content determines the digest of the request
	 * @return the effects
	 */
	List<RelayEffect> sendRequest(String id, String route, String target, String content) {
		RequestHead head = new RequestHead(id, "host", "/" + route + "/" + target, Optional.of(Duration.ofSeconds(3)),
				Optional.empty(), List.of(), 0, Optional.empty(), Optional.empty(), RequestHead.Origin.UNKNOWN);
		this.exchange++;
		return handle(new RelayEvent.RequestReceived(this.now, this.now, this.exchange, head, content.getBytes(),
				2L * content.hashCode()));
	}

	/**
	 * Has upstreams answer requests for many targets of a route.
	 * @param route the route
	 * @param count the number of requests
	 */
	void answerRequests(String route, int count) {
		for (int i = 0; i < count; i++) {
			sendRequest("answered" + i, route, "target" + i, "content" + i);
			respond(1, SIGNED);
		}
	}

	long exchange() {
		return this.exchange;
	}

	List<RelayEffect> written(int attempt) {
		return handle(new RelayEvent.RequestWritten(this.now, this.exchange, attempt));
	}

	List<RelayEffect> respond(int attempt, ResponseHead head) {
		return handle(new RelayEvent.ResponseReceived(this.now, this.exchange, attempt, head, "answer".getBytes()));
	}

	List<RelayEffect> open(int attempt) {
		return handle(new RelayEvent.StreamOpened(this.now, this.exchange, attempt, SIGNED));
	}

	List<RelayEffect> event(int attempt, long number) {
		byte[] data = ("piece " + number).getBytes();
		return handle(new RelayEvent.StreamEventReceived(this.now, this.exchange, attempt, number, data, data));
	}

	List<RelayEffect> end(int attempt) {
		return handle(new RelayEvent.StreamEnded(this.now, this.exchange, attempt));
	}

	List<RelayEffect> fail(int attempt, RelayEvent.FailureCause cause) {
		return handle(new RelayEvent.AttemptFailed(this.now, this.exchange, attempt, cause));
	}

	/**
	 * Breaks the connection of an attempt whose upstream has ended and refuses
	 * connections.
	 * @param attempt the attempt
	 * @return the effects
	 */
	List<RelayEffect> crash(int attempt) {
		List<RelayEffect> effects = new ArrayList<>(fail(attempt, RelayEvent.FailureCause.BROKEN));
		for (RelayEffect.ProbeUpstream probe : ofType(List.copyOf(effects), RelayEffect.ProbeUpstream.class)) {
			effects.addAll(probed(probe.upstream(), true));
		}
		return effects;
	}

	List<RelayEffect> probed(Upstream upstream, boolean refused) {
		return handle(new RelayEvent.UpstreamProbed(this.now, upstream, refused));
	}

	List<RelayEffect> fireTimer(RelayEvent.TimerKind timer) {
		return handle(new RelayEvent.TimerFired(this.now, this.exchange, timer));
	}

	List<RelayEffect> readFromLog(LedgerEntry... entries) {
		return handle(new RelayEvent.EntriesReceived(this.now, List.of(entries), Optional.empty()));
	}

	List<RelayEffect> readFromLog(Duration age, LedgerEntry entry) {
		return handle(new RelayEvent.EntriesReceived(this.now, List.of(entry), Optional.empty(), List.of(age)));
	}

	/**
	 * Answers requests to read the log and the list of upstreams, to which nothing was
	 * added.
	 * @param effects the effects that may have the requests
	 * @return these effects and those of the answers
	 */
	List<RelayEffect> confirmed(List<RelayEffect> effects) {
		List<RelayEffect> all = new ArrayList<>(effects);
		for (int i = 0; i < all.size(); i++) {
			switch (all.get(i)) {
				case RelayEffect.ReadLog ignored -> all.addAll(logEndRead());
				case RelayEffect.ConfirmUpstreams request -> all.addAll(confirm(request.confirmation()));
				default -> {
				}
			}
		}
		return all;
	}

	List<RelayEffect> logEndRead() {
		return handle(new RelayEvent.LogEndRead(this.now, this.now));
	}

	List<RelayEffect> confirm(long confirmation) {
		return handle(new RelayEvent.UpstreamsConfirmed(this.now, confirmation));
	}

	List<RelayEffect> streamStored(String request, int attempt) {
		return handle(new RelayEvent.StreamAttemptsStored(this.now, Map.of(run(request), attempt)));
	}

	List<RelayEffect> readFromPeer(LedgerEntry... entries) {
		return handle(new RelayEvent.EntriesReceived(this.now, List.of(entries), Optional.of("sender")));
	}

	/**
	 * Returns the last run of a request for which this relay has written or requested a
	 * reservation.
	 * @param request the request id
	 * @return the run; one without a number if there is none
	 */
	RunId run(String request) {
		return this.all.stream()
			.map(RelayFixture::reservedRun)
			.flatMap(Optional::stream)
			.filter((run) -> run.request().equals(request))
			.reduce((first, last) -> last)
			.orElse(RunId.unnumbered(request));
	}

	private static Optional<RunId> reservedRun(RelayEffect effect) {
		return switch (effect) {
			case RelayEffect.RequestReservation request -> Optional.of(request.run());
			case RelayEffect.AppendEntry append when append.entry() instanceof LedgerEntry.Reserved reserved ->
				Optional.of(reserved.run());
			default -> Optional.empty();
		};
	}

	static LedgerEntry.Settled settledTurn(String request, String previous) {
		return new LedgerEntry.Settled(RunId.unnumbered(request), "p", 10, Optional.of(location(previous)));
	}

	static TextLocation location(String previous) {
		return new TextLocation(Optional.ofNullable(previous), 9, 5, 17);
	}

	static TurnText turnText(String request, String previous, String input, String output) {
		return new TurnText(RunId.unnumbered(request),
				new StoredTurn(Optional.ofNullable(previous), input.getBytes(), output.getBytes()));
	}

	List<RelayEffect> stored(String... requests) {
		Set<RunId> runs = Stream.of(requests).map(this::run).collect(Collectors.toSet());
		handle(new RelayEvent.TextsStored(this.now, runs, 5, 20, Duration.ofMillis(8)));
		return handle(new RelayEvent.SettlementsStored(this.now, runs));
	}

	static <T extends RelayEffect> List<T> ofType(List<RelayEffect> effects, Class<T> type) {
		return effects.stream().filter(type::isInstance).map(type::cast).toList();
	}

	/**
	 * Returns the entries that were written, failures without the numbers of their runs.
	 * @param effects the effects
	 * @return the entries
	 */
	static List<LedgerEntry> writtenWithoutRuns(List<RelayEffect> effects) {
		return written(effects).stream()
			.map((entry) -> (entry instanceof LedgerEntry.UpstreamFailed failed)
					? new LedgerEntry.UpstreamFailed(failed.request(), failed.digest(), failed.upstream()) : entry)
			.toList();
	}

	static List<LedgerEntry> written(List<RelayEffect> effects) {
		return ofType(effects, RelayEffect.AppendEntry.class).stream().map(RelayEffect.AppendEntry::entry).toList();
	}

	static LedgerEntry.Settled settled(List<RelayEffect> effects) {
		return written(effects).stream()
			.filter(LedgerEntry.Settled.class::isInstance)
			.map(LedgerEntry.Settled.class::cast)
			.findFirst()
			.orElseThrow();
	}

}
