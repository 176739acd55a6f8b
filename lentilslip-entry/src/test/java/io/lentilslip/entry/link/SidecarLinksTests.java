package io.lentilslip.entry.link;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.lentilslip.core.call.Body;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.entry.EntryEvent;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.retry.Backoff;
import io.lentilslip.wire.link.Link;
import io.lentilslip.wire.link.LinkClosure;
import io.lentilslip.wire.link.LinkListener;
import io.lentilslip.wire.link.SendResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SidecarLinksTests {

	private static final Instant NOW = Instant.ofEpochSecond(1);

	private static final VmName VM = new VmName("runner-1");

	private static final ProcessId SIDECAR = new ProcessId(VM, new Incarnation(5));

	private static final ProcessId NEXT_LIFE = new ProcessId(VM, new Incarnation(6));

	private static final Endpoint ADDRESS = new Endpoint("127.0.0.1", 9);

	private static final LinkMessage.ConfigurationOffer NEWEST = new LinkMessage.ConfigurationOffer(8, Body.EMPTY);

	private static final LinkMessage.ToSidecar MESSAGE = new LinkMessage.Cancel(new AttemptId(new Incarnation(1), 1));

	private final BlockingQueue<LinkListener> attempts = new LinkedBlockingQueue<>();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final Recorder recorder = new Recorder();

	private volatile Optional<LinkMessage.ConfigurationOffer> newest = Optional.of(NEWEST);

	private final SidecarLinks links = new SidecarLinks((address, listener) -> this.attempts.add(listener),
			new Backoff(Duration.ofMillis(1), Duration.ofMillis(2)), this.timer, () -> NOW, () -> 0L, this.recorder,
			() -> this.newest);

	@AfterEach
	void stop() {
		this.timer.shutdownNow();
	}

	@Test
	void openLinkIsReportedBeforeItsMessages() throws Exception {
		FakeLink link = open(SIDECAR, 8);
		link.listener.received(link, new LinkMessage.Draining());
		assertThat(this.recorder.events).containsExactly(new EntryEvent.SidecarLinked(VM, SIDECAR, NOW),
				new EntryEvent.SidecarMessageReceived(SIDECAR, new LinkMessage.Draining(), NOW));
		assertThat(this.links.up()).isOne();
	}

	@Test
	void messageGoesToTheLifeItWasMeantFor() throws Exception {
		FakeLink link = open(SIDECAR, 8);
		this.links.send(SIDECAR, MESSAGE);
		this.links.send(NEXT_LIFE, MESSAGE);
		assertThat(link.sent).containsExactly(MESSAGE);
		assertThat(this.recorder.events).contains(new EntryEvent.SendRefused(NEXT_LIFE, MESSAGE, NOW));
	}

	// The link is full or ends while a call is sent. The message surely did not leave,
	// and
	// the reducer has to hear so, or the call would wait for an answer until its
	// deadline.
	@Test
	void messageThatTheLinkDoesNotTakeIsRefused() throws Exception {
		FakeLink link = open(SIDECAR, 8);
		link.result = SendResult.OVERLOADED;
		this.links.send(SIDECAR, MESSAGE);
		assertThat(this.recorder.events).contains(new EntryEvent.SendRefused(SIDECAR, MESSAGE, NOW));
	}

	// A sidecar dies and another life of it comes up at its address. The entry opens the
	// link again by itself and tells the reducer of the end and of the new life, in this
	// order.
	@Test
	void endedLinkIsOpenedAgain() throws Exception {
		FakeLink link = open(SIDECAR, 8);
		link.listener.closed(link, LinkClosure.SILENT);
		nextAttempt().refused(new InetSocketAddress(0), LinkClosure.UNREACHABLE);
		new FakeLink(nextAttempt(), NEXT_LIFE, 8).open();
		assertThat(this.recorder.events).containsExactly(new EntryEvent.SidecarLinked(VM, SIDECAR, NOW),
				new EntryEvent.SidecarUnlinked(VM, NOW), new EntryEvent.SidecarUnlinked(VM, NOW),
				new EntryEvent.SidecarLinked(VM, NEXT_LIFE, NOW));
	}

	@Test
	void linkThatIsNoLongerWantedStaysClosed() throws Exception {
		FakeLink link = open(SIDECAR, 8);
		this.links.disconnect(VM);
		link.listener.closed(link, LinkClosure.CLOSED_HERE);
		assertThat(link.closed).isTrue();
		assertThat(this.links.known()).isZero();
		this.timer.shutdown();
		assertThat(this.timer.awaitTermination(60, TimeUnit.SECONDS)).isTrue();
		assertThat(this.attempts).isEmpty();
	}

	// A VM is replaced and its address given to another one before the configuration says
	// so. The sidecar that answers there is none of ours to send this VM's calls to.
	@Test
	void sidecarOfAnotherVmIsNotTakenForTheConfiguredOne() throws Exception {
		FakeLink link = open(new ProcessId(new VmName("runner-2"), new Incarnation(5)), 8);
		assertThat(link.closed).isTrue();
		assertThat(this.recorder.events).isEmpty();
	}

	@Test
	void peerWithAnOlderConfigurationGetsTheNewest() throws Exception {
		assertThat(open(SIDECAR, 7).sent).containsExactly(NEWEST);
		assertThat(open(NEXT_LIFE, 8).sent).isEmpty();
	}

	// The log is down; one sidecar brings a configuration that this entry did not have.
	// The sidecars linked before have none either and get it from here, each once.
	@Test
	void configurationOfAPeerIsOfferedToThoseWithoutIt() throws Exception {
		this.newest = Optional.empty();
		FakeLink link = open(SIDECAR, -1);
		this.newest = Optional.of(NEWEST);
		this.links.offerNewest();
		this.links.offerNewest();
		assertThat(link.sent).containsExactly(NEWEST);
	}

	@Test
	void offerOfAPeerIsNoEventOfTheReducer() throws Exception {
		FakeLink link = open(SIDECAR, 8);
		LinkMessage.ConfigurationOffer offer = new LinkMessage.ConfigurationOffer(9, Body.EMPTY);
		link.listener.received(link, offer);
		assertThat(this.recorder.offers).containsExactly(offer);
		assertThat(this.recorder.events).hasSize(1);
	}

	private FakeLink open(ProcessId sidecar, long version) throws InterruptedException {
		this.links.connect(VM, ADDRESS);
		FakeLink link = new FakeLink(nextAttempt(), sidecar, version);
		link.open();
		return link;
	}

	private LinkListener nextAttempt() throws InterruptedException {
		return this.attempts.poll(60, TimeUnit.SECONDS);
	}

	private static final class FakeLink implements Link {

		private final LinkListener listener;

		private final LinkMessage.Hello hello;

		private final List<LinkMessage> sent = new ArrayList<>();

		private SendResult result = SendResult.ACCEPTED;

		private boolean closed;

		FakeLink(LinkListener listener, ProcessId process, long version) {
			this.listener = listener;
			this.hello = new LinkMessage.Hello(process, new ZoneName("hall"), version);
		}

		void open() {
			this.listener.opened(this, this.hello);
		}

		@Override
		public LinkMessage.Hello peer() {
			return this.hello;
		}

		@Override
		public SocketAddress address() {
			return new InetSocketAddress(0);
		}

		@Override
		public long pendingBytes() {
			return 0;
		}

		@Override
		public SendResult send(LinkMessage message) {
			this.sent.add(message);
			return this.result;
		}

		@Override
		public void close() {
			this.closed = true;
		}

	}

	private static final class Recorder implements LinkReports {

		private final List<EntryEvent> events = new ArrayList<>();

		private final List<LinkMessage.ConfigurationOffer> offers = new ArrayList<>();

		@Override
		public void post(EntryEvent event) {
			this.events.add(event);
		}

		@Override
		public void offered(VmName vm, LinkMessage.ConfigurationOffer offer) {
			this.offers.add(offer);
		}

		@Override
		public void report(Notice notice) {
		}

		@Override
		public void measure(Measurement measurement) {
		}

	}

}
