package io.lentilslip.sidecar;

import java.io.IOException;
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
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.lentilslip.client.log.LogService;
import io.lentilslip.client.vmlist.VmList;
import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.configuration.ConfigurationFile;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.ExecutionAuthority;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.verdict.Verdict;
import io.lentilslip.runtime.log.LogStreams;
import io.lentilslip.runtime.loop.ProcessContext;
import io.lentilslip.runtime.node.Platform;
import io.lentilslip.settings.process.LogSettings;
import io.lentilslip.settings.process.MemoryBounds;
import io.lentilslip.settings.process.PlatformAddresses;
import io.lentilslip.settings.process.ProcessSettings;
import io.lentilslip.settings.process.SidecarSettings;
import io.lentilslip.standin.engine.EngineSettings;
import io.lentilslip.standin.engine.EngineStandIn;
import io.lentilslip.standin.log.LogServiceStandIn;
import io.lentilslip.standin.vmlist.VmListStandIn;
import io.lentilslip.telemetry.Metrics;
import io.lentilslip.wire.codec.CodecProblem;
import io.lentilslip.wire.codec.ConfigurationRecordCodec;
import io.lentilslip.wire.configuration.PublishedConfiguration;
import io.lentilslip.wire.link.Link;
import io.lentilslip.wire.link.LinkClient;
import io.lentilslip.wire.link.LinkClosure;
import io.lentilslip.wire.link.LinkListener;
import io.lentilslip.wire.link.LinkSecret;
import io.lentilslip.wire.link.LinkSettings;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(60)
class SidecarProcessTests {

	private static final String SECRET = "a secret that all processes share";

	private static final Endpoint ANY = new Endpoint("127.0.0.1", 0);

	private static final ProcessId ENTRY = new ProcessId(new VmName("entry-1"), new Incarnation(7));

	private final LogServiceStandIn log = LogServiceStandIn.start();

	private final VmListStandIn vms = VmListStandIn.start();

	private final EngineStandIn engine = EngineStandIn.start(EngineSettings.serving("m"));

	private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);

	private final Platform platform = new Platform(new LogService.ForHttp(local(this.log.address().getPort())),
			new VmList.ForHttp(local(this.vms.address().getPort())));

	private final RecordingListener listener = new RecordingListener();

	private SidecarProcess sidecar;

	private LinkClient entry;

	@BeforeEach
	void start(@TempDir Path folder) throws IOException {
		Path secret = Files.writeString(folder.resolve("secret"), SECRET + "\n");
		ProcessSettings process = new ProcessSettings(new VmName("vm-1"), new ZoneName("north"), ANY, ANY, secret,
				new PlatformAddresses(ANY, ANY, ANY), LogSettings.DEFAULT, MemoryBounds.DEFAULT);
		ProcessContext context = ProcessContext.ofSystem((measurement) -> {
		}, (notice) -> {
		});
		this.sidecar = SidecarProcess.start(new SidecarSettings(process, local(this.engine.address().getPort())),
				this.platform, new Metrics(), context);
		this.entry = new LinkClient(this.eventLoops, LinkSettings.standard(LinkSecret.of(SECRET)),
				() -> new LinkMessage.Hello(ENTRY, new ZoneName("north"), -1));
		this.entry.connect(local(this.sidecar.linkPort()), this.listener);
	}

	@AfterEach
	void stop() {
		this.entry.close();
		this.sidecar.close();
		this.platform.close();
		this.engine.close();
		this.vms.close();
		this.log.close();
		this.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	@Test
	void callRunsAtTheEngineAndItsAnswerComesBackWhole() throws InterruptedException {
		Link link = this.listener.opened.take();
		publish();
		awaitReady();
		link.send(dispatch(1));
		StringBuilder text = new StringBuilder();
		LinkMessage message = this.listener.received.take();
		while (!(message instanceof LinkMessage.Finished)) {
			if (message instanceof LinkMessage.Delta delta) {
				text.append(delta.text());
			}
			message = this.listener.received.take();
		}
		CallOutcome outcome = ((LinkMessage.Finished) message).outcome();
		assertThat(outcome).isInstanceOfSatisfying(CallOutcome.Completed.class, (answered) -> {
			CallResponse.FromModel answer = (CallResponse.FromModel) answered.response();
			assertThat(text).isNotEmpty();
			assertThat(answer.message()).contains("\"assistant\"");
		});
	}

	// The sidecar has no configuration yet. The call is refused as not run, so that its
	// caller may go elsewhere, and the health check says that no work is taken.
	@Test
	void withoutConfigurationNothingRuns() throws Exception {
		Link link = this.listener.opened.take();
		link.send(dispatch(1));
		assertThat(next(LinkMessage.Finished.class).outcome()).isInstanceOfSatisfying(CallOutcome.Failed.class,
				(failed) -> {
					assertThat(failed.verdict()).isEqualTo(Verdict.NOT_RUN);
					assertThat(failed.failure().cause()).isEqualTo(FailureCause.NOT_READY);
				});
		assertThat(get("/health").statusCode()).isEqualTo(503);
		assertThat(get("/status").body()).contains("\"role\":\"sidecar\"", "\"status\":\"waiting\"");
		assertThat(get("/metrics").statusCode()).isEqualTo(200);
	}

	// The platform stops the VM. Entries are told that the sidecar leaves, a call that
	// still comes is refused as not run, and the process says when all work has ended.
	@Test
	void stopIsAnnouncedAndRefusesNewWork() throws Exception {
		Link link = this.listener.opened.take();
		publish();
		awaitReady();
		this.sidecar.requestStop();
		next(LinkMessage.Draining.class);
		this.sidecar.requestStop().get();
		link.send(dispatch(2));
		assertThat(next(LinkMessage.Finished.class).outcome().verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void entryThatHasAConfigurationGivesItWhileTheLogHasNone() throws InterruptedException {
		Link link = this.listener.opened.take();
		link.send(new LinkMessage.ConfigurationOffer(3, Body.of(record())));
		awaitReady();
		assertThat(this.sidecar.status().configurationVersion()).isEqualTo(3);
	}

	private <T> T next(Class<T> type) throws InterruptedException {
		LinkMessage message = this.listener.received.take();
		while (!type.isInstance(message)) {
			message = this.listener.received.take();
		}
		return type.cast(message);
	}

	// A report with room for calls tells that configuration and upstream are known.
	private void awaitReady() throws InterruptedException {
		while (next(LinkMessage.LoadReport.class).limit() == 0) {
			continue;
		}
	}

	private HttpResponse<String> get(String path) throws IOException, InterruptedException {
		URI uri = URI.create("http://127.0.0.1:" + this.sidecar.adminPort() + path);
		try (HttpClient client = HttpClient.newHttpClient()) {
			return client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
		}
	}

	private void publish() {
		this.platform.log().append(LogStreams.CONFIGURATION, record()).toCompletableFuture().join();
	}

	private static byte[] record() {
		String text = """
				[site]
				name = small
				zones = north

				[group sellers]
				share = 1

				[model m]
				context_tokens = 8000
				maximum_output_tokens = 1000

				[upstream vm-1]
				zone = north
				sidecar = 10.0.0.1:7000
				address = 127.0.0.1:8000
				kind = engine
				models = m
				checks_fencing_numbers = false
				kv_tokens = 100000
				maximum_calls = 8
				""";
		ConfigurationFile file = new ConfigurationFile("10-base.ini", text.getBytes(StandardCharsets.UTF_8));
		return ConfigurationRecordCodec
			.encode(new PublishedConfiguration(-1, new UUID(0, 1), new ConfigurationSource(List.of(file))));
	}

	private static LinkMessage.Dispatch dispatch(long number) {
		CallRequest call = new CallRequest.ForModel(new GroupName("sellers"), Optional.empty(), Optional.empty(),
				Digest.of("content"), new ModelName("m"), HistoryMode.WHOLE,
				List.of("{\"role\":\"user\",\"content\":\"How deep is the Danube?\"}"), 20, "{}", true);
		return new LinkMessage.Dispatch(new AttemptId(ENTRY.incarnation(), number), call,
				new ExecutionAuthority.ForSingleCall(), Duration.ofSeconds(30), "");
	}

	private static Endpoint local(int port) {
		return new Endpoint("127.0.0.1", port);
	}

	private static final class RecordingListener implements LinkListener {

		private final BlockingQueue<Link> opened = new LinkedBlockingQueue<>();

		private final BlockingQueue<LinkMessage> received = new LinkedBlockingQueue<>();

		@Override
		public void opened(Link link, LinkMessage.Hello peer) {
			this.opened.add(link);
		}

		@Override
		public void received(Link link, LinkMessage message) {
			this.received.add(message);
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
