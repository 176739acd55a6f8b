package io.lentilslip.entry;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.lentilslip.client.log.LogService;
import io.lentilslip.client.vmlist.VmList;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.configuration.ConfigurationFile;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.entry.EntryEffect;
import io.lentilslip.core.entry.EntryEvent;
import io.lentilslip.core.entry.EntryStatus;
import io.lentilslip.core.entry.Ticket;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.reducer.Reducer;
import io.lentilslip.core.reducer.Step;
import io.lentilslip.core.role.NodeEffect;
import io.lentilslip.core.role.NodeEvent;
import io.lentilslip.runtime.configuration.Base;
import io.lentilslip.runtime.configuration.ConfigurationPublisher;
import io.lentilslip.runtime.configuration.PublicationOutcome;
import io.lentilslip.runtime.loop.Pause;
import io.lentilslip.runtime.loop.ProcessContext;
import io.lentilslip.runtime.loop.SeedSource;
import io.lentilslip.runtime.node.Platform;
import io.lentilslip.settings.process.EntrySettings;
import io.lentilslip.settings.process.LogSettings;
import io.lentilslip.settings.process.MemoryBounds;
import io.lentilslip.settings.process.PlatformAddresses;
import io.lentilslip.settings.process.ProcessSettings;
import io.lentilslip.standin.log.LogServiceStandIn;
import io.lentilslip.standin.vmlist.VmListStandIn;
import io.lentilslip.telemetry.Metrics;
import io.lentilslip.wire.codec.CodecProblem;
import io.lentilslip.wire.link.Link;
import io.lentilslip.wire.link.LinkClosure;
import io.lentilslip.wire.link.LinkListener;
import io.lentilslip.wire.link.LinkSecret;
import io.lentilslip.wire.link.LinkServer;
import io.lentilslip.wire.link.LinkSettings;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class EntryProcessTests {

	private static final String SECRET = "a secret of the tests";

	private static final String CALL = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

	private static final ProcessId SIDECAR = new ProcessId(new VmName("runner-1"), new Incarnation(5));

	private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);

	private static final EntryStatus.Upstream UPSTREAM = new EntryStatus.Upstream(SIDECAR.vm(), new ZoneName("hall"),
			true, false, 1, 2, 8);

	private static final EntryStatus.Group GROUP = new EntryStatus.Group(new GroupName("desk"), 1, 40,
			Optional.of(100L));

	private static final String CONFIGURATION = """
			[site]
			name = site
			zones = hall

			[group desk]
			share = 1

			[service pings]
			timeout = 5s

			[upstream vm-1]
			zone = hall
			sidecar = 10.0.0.1:7000
			address = 127.0.0.1:8000
			kind = service
			services = pings
			maximum_calls = 8
			""";

	private final BlockingQueue<EntryEvent> events = new LinkedBlockingQueue<>();

	private final HttpClient client = HttpClient.newHttpClient();

	private final LogServiceStandIn log = LogServiceStandIn.start();

	private final VmListStandIn vms = VmListStandIn.start();

	private final LogService logClient = new LogService.ForHttp(endpoint(this.log.address()));

	private final Platform platform = new Platform(this.logClient, new VmList.ForHttp(endpoint(this.vms.address())));

	private volatile Function<EntryEvent, List<EntryEffect>> script = (event) -> List.of();

	@TempDir
	private Path folder;

	private EntryProcess entry;

	@BeforeEach
	void start() throws Exception {
		Path secret = Files.writeString(this.folder.resolve("secret"), SECRET);
		PlatformAddresses addresses = new PlatformAddresses(endpoint(this.log.address()), endpoint(this.vms.address()),
				ANY_PORT);
		ProcessSettings process = new ProcessSettings(new VmName("entry-1"), new ZoneName("hall"), ANY_PORT, ANY_PORT,
				secret, addresses, LogSettings.DEFAULT, MemoryBounds.DEFAULT);
		Metrics metrics = new Metrics();
		this.entry = EntryProcess.start(new EntrySettings(process, ANY_PORT),
				new Decisions<>(new ScriptedReducer(), (self, zone) -> status(self, -1, false), (status) -> status),
				this.platform, metrics, ProcessContext.ofSystem(metrics::apply, (notice) -> {
				}));
	}

	@AfterEach
	void stop() {
		this.entry.close();
		this.platform.close();
		this.log.close();
		this.vms.close();
		this.client.close();
	}

	@Test
	void readyOnlyWithAConfiguration() throws Exception {
		assertThat(get("/health").statusCode()).isEqualTo(503);
		assertThat(get("/health").body()).contains("waiting");
		publish();
		next(NodeEvent.ConfigurationAccepted.class);
		assertThat(get("/health").statusCode()).isEqualTo(200);
		assertThat(get("/status").body()).contains("\"configuration_version\":0", "\"vm\":\"entry-1\"",
				"\"links\":{\"up\":1,\"known\":1}", "\"used_tokens\":40,\"budget_tokens\":100");
		assertThat(get("/metrics").body()).contains("lentilslip_");
	}

	@Test
	void callGoesToTheSidecarAndItsAnswerToTheCaller() throws Exception {
		NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
		try (LinkServer server = sidecar(eventLoops)) {
			Endpoint address = new Endpoint("127.0.0.1", server.port());
			this.script = (event) -> switch (event) {
				case EntryEvent.CallArrived arrived -> List.of(new EntryEffect.Connect(SIDECAR.vm(), address));
				case EntryEvent.SidecarLinked linked ->
					List.of(new EntryEffect.Send(linked.sidecar(), new LinkMessage.Cancel(attempt()), linked.now()));
				case EntryEvent.SidecarMessageReceived spoke when spoke
					.message() instanceof LinkMessage.Finished finished ->
					List.of(new EntryEffect.Complete(new Ticket(1), finished.outcome()));
				default -> List.of();
			};
			HttpResponse<String> response = call().join();
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(response.body()).contains("good day");
		}
		finally {
			eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		}
	}

	// A stop is asked for while a call runs. The entry says that it takes no work,
	// refuses
	// a new call as not run on a connection that then ends, and lets the call under way
	// have its whole answer before it counts as ended.
	@Test
	void stopLetsCallsEndAndRefusesNewOnes() throws Exception {
		CompletableFuture<HttpResponse<String>> running = call();
		next(EntryEvent.CallArrived.class);
		CompletableFuture<Void> ended = this.entry.requestStop();
		next(NodeEvent.StopRequested.class);
		this.script = (event) -> (event instanceof EntryEvent.CallArrived arrived) ? List.of(refused(arrived))
				: List.of();
		HttpResponse<String> refused = call().join();
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(refused.body()).contains("\"verdict\":\"not_run\"");
		assertThat(refused.headers().firstValue("Connection")).contains("close");
		assertThat(get("/health").body()).contains("stopping");
		assertThat(ended).isNotDone();
		this.script = (event) -> (event instanceof EntryEvent.CallArrived arrived)
				? List.of(answered(new Ticket(1)), refused(arrived), new EntryEffect.ForNode(new NodeEffect.Stopped()))
				: List.of();
		call().join();
		assertThat(running.join().body()).contains("good day");
		assertThat(ended.get(60, TimeUnit.SECONDS)).isNull();
	}

	private static EntryEffect refused(EntryEvent.CallArrived arrived) {
		CallFailure failure = CallFailure.notRun(FailureCause.STOPPING, "this entry is stopping");
		return new EntryEffect.Complete(arrived.ticket(), new CallOutcome.Failed(failure));
	}

	private static EntryEffect answered(Ticket ticket) {
		return new EntryEffect.Complete(ticket, outcome());
	}

	private static CallOutcome outcome() {
		CallResponse answer = new CallResponse.FromModel("{\"content\":\"good day\"}", "stop", Usage.NONE);
		return new CallOutcome.Completed(answer, Durability.NOT_KEPT, 0);
	}

	private static AttemptId attempt() {
		return new AttemptId(new Incarnation(1), 1);
	}

	private static Endpoint endpoint(InetSocketAddress address) {
		return new Endpoint("127.0.0.1", address.getPort());
	}

	private static LinkServer sidecar(NioEventLoopGroup eventLoops) {
		LinkMessage.Hello hello = new LinkMessage.Hello(SIDECAR, new ZoneName("hall"), -1);
		return LinkServer
			.listen(eventLoops, ANY_PORT, LinkSettings.standard(LinkSecret.of(SECRET)), () -> hello,
					new AnsweringSidecar())
			.get();
	}

	private void publish() throws InterruptedException {
		ConfigurationFile file = new ConfigurationFile("10-site.ini", CONFIGURATION.getBytes(StandardCharsets.UTF_8));
		PublicationOutcome outcome = new ConfigurationPublisher(this.logClient, SeedSource.ofSystem(), Pause.ofThread())
			.publish(new ConfigurationSource(List.of(file)), new Base.Newest(), UUID.randomUUID());
		assertThat(outcome).isInstanceOf(PublicationOutcome.Won.class);
	}

	private HttpResponse<String> get(String path) throws Exception {
		URI uri = URI.create("http://127.0.0.1:" + this.entry.admin().getPort() + path);
		return this.client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
	}

	private CompletableFuture<HttpResponse<String>> call() {
		URI uri = URI.create("http://127.0.0.1:" + this.entry.callers().getPort() + "/v1/chat/completions");
		HttpRequest request = HttpRequest.newBuilder(uri)
			.timeout(Duration.ofSeconds(60))
			.header("Authorization", "Bearer secret")
			.POST(HttpRequest.BodyPublishers.ofString(CALL))
			.build();
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
	}

	private void next(Class<?> type) throws InterruptedException {
		EntryEvent event;
		do {
			event = this.events.poll(60, TimeUnit.SECONDS);
			assertThat(event).as("an event of " + type).isNotNull();
		}
		while (!type.isInstance(event)
				&& !(event instanceof EntryEvent.NodeEventReceived spoke && type.isInstance(spoke.event())));
	}

	private static EntryStatus status(ProcessId self, long version, boolean stopping) {
		return new EntryStatus(self, version, 0, true, 0, 0, List.of(UPSTREAM), List.of(GROUP), stopping);
	}

	private final class ScriptedReducer implements Reducer<EntryStatus, EntryEvent, EntryEffect> {

		@Override
		public Step<EntryStatus, EntryEffect> apply(EntryStatus state, EntryEvent event) {
			EntryStatus after = after(state, event);
			if (!isPeriodic(event)) {
				EntryProcessTests.this.events.add(event);
			}
			return new Step<>(after, EntryProcessTests.this.script.apply(event));
		}

		private boolean isPeriodic(EntryEvent event) {
			return event instanceof EntryEvent.LogEventReceived || (event instanceof EntryEvent.NodeEventReceived spoke
					&& (spoke.event() instanceof NodeEvent.Ticked || spoke.event() instanceof NodeEvent.VmListRead));
		}

		private EntryStatus after(EntryStatus state, EntryEvent event) {
			if (!(event instanceof EntryEvent.NodeEventReceived spoke)) {
				return state;
			}
			return switch (spoke.event()) {
				case NodeEvent.ConfigurationAccepted accepted ->
					status(state.process(), accepted.version(), state.stopping());
				case NodeEvent.StopRequested stop -> status(state.process(), state.configurationVersion(), true);
				default -> state;
			};
		}

	}

	private static final class AnsweringSidecar implements LinkListener {

		@Override
		public void opened(Link link, LinkMessage.Hello peer) {
		}

		@Override
		public void received(Link link, LinkMessage message) {
			link.send(new LinkMessage.Finished(attempt(), outcome()));
		}

		@Override
		public void unread(Link link, CodecProblem.UnknownKind problem) {
		}

		@Override
		public void closed(Link link, LinkClosure reason) {
		}

		@Override
		public void refused(SocketAddress address, LinkClosure reason) {
		}

	}

}
