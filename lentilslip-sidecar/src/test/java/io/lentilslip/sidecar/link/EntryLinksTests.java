package io.lentilslip.sidecar.link;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.ServiceRequest;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ServiceName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.ExecutionAuthority;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.sidecar.SidecarEvent;
import io.lentilslip.core.verdict.Verdict;
import io.lentilslip.runtime.loop.Admission;
import io.lentilslip.wire.link.Link;
import io.lentilslip.wire.link.LinkClosure;
import io.lentilslip.wire.link.SendResult;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryLinksTests {

	private static final Instant NOW = Instant.EPOCH;

	private static final ProcessId ENTRY = new ProcessId(new VmName("entry-1"), new Incarnation(7));

	private static final AttemptId ATTEMPT = new AttemptId(new Incarnation(7), 1);

	private final List<SidecarEvent> events = new ArrayList<>();

	private final List<Notice> notices = new ArrayList<>();

	private Admission admission = Admission.ADMITTED;

	private Optional<LinkMessage.ConfigurationOffer> newest = Optional.empty();

	private final EntryLinks links = new EntryLinks(new Reports(), () -> this.newest, () -> NOW);

	@Test
	void eventsOfALinkComeInTheirOrder() {
		RecordedLink link = open(-1);
		LinkMessage.Cancel cancel = new LinkMessage.Cancel(ATTEMPT);
		this.links.received(link, cancel);
		this.links.closed(link, LinkClosure.CLOSED_BY_PEER);
		assertThat(this.events).containsExactly(new SidecarEvent.EntryConnected(ENTRY, NOW),
				new SidecarEvent.EntryMessageReceived(ENTRY, cancel, NOW),
				new SidecarEvent.EntryDisconnected(ENTRY, NOW));
		assertThat(this.notices).hasSize(1);
	}

	// The network swallowed the end of an entry's link, and the entry opened another one.
	// The reducer sees the old one end before the new one begins; what still comes from
	// the old one, its end above all, must not count for the new one.
	@Test
	void newLinkTakesThePlaceOfTheOldOne() {
		RecordedLink before = open(-1);
		RecordedLink after = open(-1);
		assertThat(before.closed).isTrue();
		this.links.received(before, new LinkMessage.Cancel(ATTEMPT));
		this.links.closed(before, LinkClosure.CLOSED_HERE);
		assertThat(this.events).containsExactly(new SidecarEvent.EntryConnected(ENTRY, NOW),
				new SidecarEvent.EntryDisconnected(ENTRY, NOW), new SidecarEvent.EntryConnected(ENTRY, NOW));
		this.links.send(ENTRY, new LinkMessage.Draining());
		assertThat(after.sent).containsExactly(new LinkMessage.Draining());
	}

	// The mailbox is full. A call that stands alone did not run, and its caller may go
	// elsewhere; a claimed call may be under way here from an earlier attempt, so "not
	// run" would be a guess.
	@Test
	void fullMailboxRefusesWithATrueVerdict() {
		RecordedLink link = open(-1);
		this.admission = Admission.FULL;
		this.links.received(link, dispatch(new ExecutionAuthority.ForSingleCall()));
		this.links.received(link, dispatch(new ExecutionAuthority.ForHome(ENTRY, new Epoch(1), 0)));
		assertThat(link.sent).hasSize(2);
		assertThat(verdict(link.sent.get(0))).isEqualTo(Verdict.NOT_RUN);
		assertThat(verdict(link.sent.get(1))).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	@Test
	void entryWithAnOlderConfigurationIsGivenTheNewest() {
		LinkMessage.ConfigurationOffer offer = new LinkMessage.ConfigurationOffer(5, Body.of("record"));
		this.newest = Optional.of(offer);
		assertThat(open(5).sent).isEmpty();
		assertThat(open(4).sent).containsExactly(offer);
		RecordedLink without = open(-1);
		this.links.offerNewest();
		assertThat(without.sent).containsExactly(offer, offer);
	}

	// An answer is larger than a frame may be. The caller is told that its call ran and
	// that the answer is too large, instead of waiting until its deadline.
	@Test
	void answerThatIsTooLargeIsToldWithoutIt() {
		RecordedLink link = open(-1);
		link.result = SendResult.TOO_LARGE;
		CallOutcome outcome = new CallOutcome.Completed(new CallResponse.FromService(200, List.of(), Body.EMPTY),
				Durability.COMMITTED, 0);
		this.links.send(ENTRY, new LinkMessage.Finished(ATTEMPT, outcome));
		assertThat(link.sent).hasSize(2);
		assertThat(verdict(link.sent.get(1))).isEqualTo(Verdict.RAN);
		assertThat(((CallOutcome.Failed) ((LinkMessage.Finished) link.sent.get(1)).outcome()).failure().cause())
			.isEqualTo(FailureCause.TOO_LARGE);
	}

	private RecordedLink open(long version) {
		RecordedLink link = new RecordedLink(new LinkMessage.Hello(ENTRY, new ZoneName("north"), version));
		this.links.opened(link, link.peer());
		return link;
	}

	private static LinkMessage.Dispatch dispatch(ExecutionAuthority standing) {
		CallRequest call = new CallRequest.ForService(new GroupName("sellers"), Optional.empty(), Optional.empty(),
				Digest.EMPTY, new ServiceName("pings"), new ServiceRequest("GET", "/", List.of(), Body.EMPTY), true);
		return new LinkMessage.Dispatch(ATTEMPT, call, standing, Duration.ofSeconds(1), "");
	}

	private static Verdict verdict(LinkMessage message) {
		return ((LinkMessage.Finished) message).outcome().verdict();
	}

	private static final class RecordedLink implements Link {

		private final LinkMessage.Hello peer;

		private final List<LinkMessage> sent = new ArrayList<>();

		private SendResult result = SendResult.ACCEPTED;

		private boolean closed;

		RecordedLink(LinkMessage.Hello peer) {
			this.peer = peer;
		}

		@Override
		public LinkMessage.Hello peer() {
			return this.peer;
		}

		@Override
		public SocketAddress address() {
			return new InetSocketAddress("127.0.0.1", 1);
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

	private final class Reports implements EntryReports {

		@Override
		public Admission offer(SidecarEvent event) {
			return EntryLinksTests.this.admission;
		}

		@Override
		public void post(SidecarEvent event) {
			EntryLinksTests.this.events.add(event);
		}

		@Override
		public void offered(VmName vm, LinkMessage.ConfigurationOffer offer) {
		}

		@Override
		public void report(Notice notice) {
			EntryLinksTests.this.notices.add(notice);
		}

	}

}
