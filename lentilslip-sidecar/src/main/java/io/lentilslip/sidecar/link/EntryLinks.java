package io.lentilslip.sidecar.link;

import java.net.SocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.ExecutionAuthority;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.sidecar.SidecarEvent;
import io.lentilslip.core.verdict.Verdict;
import io.lentilslip.runtime.loop.Admission;
import io.lentilslip.wire.codec.CodecProblem;
import io.lentilslip.wire.link.Link;
import io.lentilslip.wire.link.LinkClosure;
import io.lentilslip.wire.link.LinkListener;
import io.lentilslip.wire.link.SendResult;

/**
 * The links from entries, at most one for each life of an entry. The reducer sees for
 * each life: linked, messages, unlinked, in this order and never mixed, also when an
 * entry opens a new link before the end of its old one is known here.
 * <p>
 * Safe for use by several threads. Events are posted under a lock, so that those of two
 * links of one entry, which run on two threads, keep that order.
 */
public final class EntryLinks implements LinkListener {

	private static final Duration RETRY_SOON = Duration.ofSeconds(1);

	private final EntryReports reports;

	private final Supplier<Optional<LinkMessage.ConfigurationOffer>> newest;

	private final Supplier<Instant> clock;

	private final Object lock = new Object();

	private final Map<ProcessId, Link> links = new HashMap<>();

	/**
	 * Creates a table without links.
	 * @param reports where goes what happens
	 * @param newest the newest configuration of this process
	 * @param clock the clock
	 */
	public EntryLinks(EntryReports reports, Supplier<Optional<LinkMessage.ConfigurationOffer>> newest,
			Supplier<Instant> clock) {
		this.reports = reports;
		this.newest = newest;
		this.clock = clock;
	}

	@Override
	public void opened(Link link, LinkMessage.Hello peer) {
		ProcessId entry = peer.process();
		synchronized (this.lock) {
			Link before = this.links.put(entry, link);
			if (before != null) {
				this.reports.post(new SidecarEvent.EntryDisconnected(entry, this.clock.get()));
				before.close();
			}
			this.reports.post(new SidecarEvent.EntryConnected(entry, this.clock.get()));
		}
		offerNewest(link);
	}

	@Override
	public void received(Link link, LinkMessage message) {
		ProcessId entry = link.peer().process();
		if (message instanceof LinkMessage.ConfigurationOffer offer) {
			this.reports.offered(entry.vm(), offer);
			return;
		}
		if (!(message instanceof LinkMessage.ToSidecar spoken)) {
			return;
		}
		synchronized (this.lock) {
			if (this.links.get(entry) == link) {
				take(link, entry, spoken);
			}
		}
	}

	private void take(Link link, ProcessId entry, LinkMessage.ToSidecar message) {
		SidecarEvent event = new SidecarEvent.EntryMessageReceived(entry, message, this.clock.get());
		switch (message) {
			case LinkMessage.Dispatch dispatch -> {
				if (this.reports.offer(event) == Admission.FULL) {
					refuse(link, dispatch.attempt(), verdict(dispatch.authority()));
				}
			}
			case LinkMessage.ProgramRequest question -> {
				if (this.reports.offer(event) == Admission.FULL) {
					refuse(link, question.attempt(), Verdict.NOT_RUN);
				}
			}
			default -> this.reports.post(event);
		}
	}

	// The reducer was not asked, so only a call that stands alone is known not to run: an
	// earlier attempt of a turn or of a claimed call may be under way here.
	private static Verdict verdict(ExecutionAuthority standing) {
		return switch (standing) {
			case ExecutionAuthority.ForSingleCall single -> Verdict.NOT_RUN;
			case ExecutionAuthority.ForHome home -> Verdict.MAY_HAVE_RUN;
			case ExecutionAuthority.ForClaimedCall claimed -> Verdict.MAY_HAVE_RUN;
		};
	}

	private static void refuse(Link link, AttemptId attempt, Verdict verdict) {
		CallFailure failure = new CallFailure(verdict, FailureCause.QUEUE_FULL, "The upstream's queue is full.",
				Optional.of(RETRY_SOON));
		link.send(new LinkMessage.Finished(attempt, new CallOutcome.Failed(failure)));
	}

	@Override
	public void unread(Link link, CodecProblem.UnknownKind problem) {
		this.reports.report(notice(NoticeCode.MESSAGE_REFUSED).with(FieldName.VM, link.peer().process().vm())
			.with(FieldName.ADDRESS, link.address())
			.with(FieldName.REASON, problem));
	}

	@Override
	public void closed(Link link, LinkClosure reason) {
		ProcessId entry = link.peer().process();
		synchronized (this.lock) {
			if (this.links.remove(entry, link)) {
				this.reports.post(new SidecarEvent.EntryDisconnected(entry, this.clock.get()));
			}
		}
		if (reason == LinkClosure.CLOSED_HERE) {
			return;
		}
		this.reports.report(notice(NoticeCode.LINK_LOST).with(FieldName.VM, entry.vm())
			.with(FieldName.INCARNATION, entry.incarnation())
			.with(FieldName.ADDRESS, link.address())
			.with(FieldName.REASON, reason));
	}

	@Override
	public void refused(SocketAddress address, LinkClosure reason) {
		this.reports
			.report(notice(NoticeCode.MESSAGE_REFUSED).with(FieldName.ADDRESS, address).with(FieldName.REASON, reason));
	}

	/**
	 * Sends a message to one life of an entry; dropped if no link to it is open.
	 * @param entry the receiver
	 * @param message the message
	 */
	public void send(ProcessId entry, LinkMessage.FromSidecar message) {
		Link link;
		synchronized (this.lock) {
			link = this.links.get(entry);
		}
		if (link != null && link.send(message) == SendResult.TOO_LARGE) {
			replace(link, message);
		}
	}

	// A message that no frame holds would be missing without a sign, and its caller would
	// wait until the deadline. The end of the attempt is told without the answer; for any
	// other message the link is closed, which the entry can't overlook.
	private static void replace(Link link, LinkMessage.FromSidecar message) {
		switch (message) {
			case LinkMessage.Finished finished ->
				link.send(new LinkMessage.Finished(finished.attempt(), tooLarge(finished.outcome().verdict())));
			case LinkMessage.ProgramResponse answer ->
				link.send(new LinkMessage.Finished(answer.attempt(), tooLarge(Verdict.NOT_RUN)));
			default -> link.close();
		}
	}

	private static CallOutcome tooLarge(Verdict verdict) {
		return new CallOutcome.Failed(new CallFailure(verdict, FailureCause.TOO_LARGE,
				"The answer is larger than a message may be.", Optional.empty()));
	}

	/**
	 * Offers the newest configuration to each entry that said it has an older one or
	 * none. Called when one came from a peer: the log, from which entries would learn it,
	 * may be down.
	 */
	public void offerNewest() {
		List<Link> open;
		synchronized (this.lock) {
			open = List.copyOf(this.links.values());
		}
		open.forEach(this::offerNewest);
	}

	private void offerNewest(Link link) {
		this.newest.get().filter((offer) -> offer.version() > link.peer().configurationVersion()).ifPresent(link::send);
	}

	private static Notice notice(NoticeCode code) {
		return code.withoutFields();
	}

	/**
	 * Returns the number of entries linked.
	 * @return the number of links
	 */
	public int size() {
		synchronized (this.lock) {
			return this.links.size();
		}
	}

}
