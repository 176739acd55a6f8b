package io.lentilslip.entry.link;

import java.net.SocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.entry.EntryEvent;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.retry.Backoff;
import io.lentilslip.wire.codec.CodecProblem;
import io.lentilslip.wire.link.Link;
import io.lentilslip.wire.link.LinkClosure;
import io.lentilslip.wire.link.LinkListener;
import io.lentilslip.wire.link.SendResult;

/**
 * The links of an entry to its sidecars, kept open as long as the reducer wants them. A
 * link that ends or can't be opened is tried again with growing pauses. Messages go to
 * one life of a sidecar: once another life answers at its address, a message for the
 * earlier one is refused, as surely not sent. Safe for use by several threads.
 */
public final class SidecarLinks {

	private final LinkConnector connector;

	private final Backoff backoff;

	private final ScheduledExecutorService timer;

	private final InstantSource clock;

	private final LongSupplier seeds;

	private final LinkReports reports;

	private final Supplier<Optional<LinkMessage.ConfigurationOffer>> newest;

	private final Map<VmName, Target> targets = new ConcurrentHashMap<>();

	private final Map<ProcessId, Link> links = new ConcurrentHashMap<>();

	/**
	 * Creates links to nobody.
	 * @param connector the way to open links
	 * @param backoff the pauses between two attempts to open a link
	 * @param timer what runs the attempts, which do not block
	 * @param clock a clock that never goes back
	 * @param seeds a source of random numbers
	 * @param reports what learns what happens
	 * @param newest the configuration in force, for peers that have an older one
	 */
	public SidecarLinks(LinkConnector connector, Backoff backoff, ScheduledExecutorService timer, InstantSource clock,
			LongSupplier seeds, LinkReports reports, Supplier<Optional<LinkMessage.ConfigurationOffer>> newest) {
		this.connector = connector;
		this.backoff = backoff;
		this.timer = timer;
		this.clock = clock;
		this.seeds = seeds;
		this.reports = reports;
		this.newest = newest;
	}

	/**
	 * Opens a link and keeps it open. A link to another address of the same VM ends.
	 * @param vm the VM of the sidecar
	 * @param address its address
	 */
	public void connect(VmName vm, Endpoint address) {
		Target target = new Target(vm, address);
		Optional.ofNullable(this.targets.put(vm, target)).ifPresent(Target::abandon);
		target.connect();
		measure();
	}

	/**
	 * Ends a link and does not open it again.
	 * @param vm the VM of the sidecar
	 */
	public void disconnect(VmName vm) {
		Optional.ofNullable(this.targets.remove(vm)).ifPresent(Target::abandon);
		measure();
	}

	/**
	 * Sends a message, or reports that it was surely not sent.
	 * @param sidecar the receiver
	 * @param message the message
	 */
	public void send(ProcessId sidecar, LinkMessage.ToSidecar message) {
		SendResult result = Optional.ofNullable(this.links.get(sidecar))
			.map((link) -> link.send(message))
			.orElse(SendResult.CLOSED);
		if (result != SendResult.ACCEPTED) {
			this.reports.post(new EntryEvent.SendRefused(sidecar, message, this.clock.instant()));
		}
	}

	/**
	 * Offers the configuration in force to the peers that have an older one. Called when
	 * it came from a peer: the log may be down, and others may wait for it as well.
	 */
	public void offerNewest() {
		this.targets.values().forEach(Target::offerNewest);
	}

	/**
	 * Returns the number of links that are open.
	 * @return the number of links
	 */
	public int up() {
		return this.links.size();
	}

	/**
	 * Returns the number of sidecars that should be linked.
	 * @return the number of sidecars
	 */
	public int known() {
		return this.targets.size();
	}

	private void measure() {
		this.reports.measure(new Measurement.LinkState(Measurement.LinkState.Kind.SIDECAR, up(), known()));
	}

	/**
	 * A sidecar that should be linked. The calls of its listener come one after the
	 * other; whether it is still wanted is asked from several threads.
	 */
	private final class Target implements LinkListener {

		private final VmName vm;

		private final Endpoint address;

		private volatile boolean abandoned;

		private volatile Optional<Link> link = Optional.empty();

		private volatile int failures;

		// Two threads may write it at once; the peer then gets an offer twice and drops
		// it.
		private volatile long peerVersion;

		Target(VmName vm, Endpoint address) {
			this.vm = vm;
			this.address = address;
		}

		void connect() {
			if (!this.abandoned) {
				SidecarLinks.this.connector.connect(this.address, this);
			}
		}

		void abandon() {
			this.abandoned = true;
			this.link.ifPresent(Link::close);
		}

		@Override
		public void opened(Link opened, LinkMessage.Hello peer) {
			this.link = Optional.of(opened);
			if (this.abandoned || !isExpected(peer)) {
				opened.close();
				return;
			}
			this.failures = 0;
			SidecarLinks.this.links.put(peer.process(), opened);
			report(NoticeCode.SIDECAR_LINKED, peer, Optional.empty());
			measure();
			SidecarLinks.this.reports
				.post(new EntryEvent.SidecarLinked(this.vm, peer.process(), SidecarLinks.this.clock.instant()));
			this.peerVersion = peer.configurationVersion();
			offerNewest();
		}

		// An address that was given to another VM is answered by that VM's sidecar, which
		// knows nothing of the programs of the one meant.
		private boolean isExpected(LinkMessage.Hello peer) {
			return peer.process().vm().equals(this.vm);
		}

		void offerNewest() {
			SidecarLinks.this.newest.get().filter((offer) -> offer.version() > this.peerVersion).ifPresent((offer) -> {
				this.link.ifPresent((open) -> open.send(offer));
				this.peerVersion = offer.version();
			});
		}

		@Override
		public void received(Link sender, LinkMessage message) {
			ProcessId sidecar = sender.peer().process();
			if (SidecarLinks.this.links.get(sidecar) != sender) {
				return;
			}
			switch (message) {
				case LinkMessage.ConfigurationOffer offer -> {
					this.peerVersion = Math.max(this.peerVersion, offer.version());
					SidecarLinks.this.reports.offered(this.vm, offer);
				}
				case LinkMessage.FromSidecar answer -> SidecarLinks.this.reports
					.post(new EntryEvent.SidecarMessageReceived(sidecar, answer, SidecarLinks.this.clock.instant()));
				case LinkMessage.ToSidecar wrong -> sender.close();
			}
		}

		@Override
		public void unread(Link sender, CodecProblem.UnknownKind problem) {
			SidecarLinks.this.reports
				.report(NoticeCode.MESSAGE_REFUSED.with(FieldName.VM, this.vm).with(FieldName.REASON, problem));
		}

		@Override
		public void closed(Link ended, LinkClosure reason) {
			this.link = Optional.empty();
			if (SidecarLinks.this.links.remove(ended.peer().process(), ended)) {
				report(NoticeCode.LINK_LOST, ended.peer(), Optional.of(reason));
			}
			retry();
		}

		@Override
		public void refused(SocketAddress peer, LinkClosure reason) {
			retry();
		}

		private void retry() {
			measure();
			SidecarLinks.this.reports.post(new EntryEvent.SidecarUnlinked(this.vm, SidecarLinks.this.clock.instant()));
			if (this.abandoned || SidecarLinks.this.timer.isShutdown()) {
				return;
			}
			this.failures++;
			Duration pause = SidecarLinks.this.backoff.delayAfter(this.failures, SidecarLinks.this.seeds.getAsLong());
			SidecarLinks.this.timer.schedule(this::connect, pause.toNanos(), TimeUnit.NANOSECONDS);
		}

		private void report(NoticeCode code, LinkMessage.Hello peer, Optional<LinkClosure> reason) {
			Notice notice = code.with(FieldName.VM, this.vm)
				.with(FieldName.ZONE, peer.zone())
				.with(FieldName.ADDRESS, this.address)
				.with(FieldName.INCARNATION, peer.process().incarnation());
			SidecarLinks.this.reports
				.report(reason.map((closure) -> notice.with(FieldName.REASON, closure)).orElse(notice));
		}

	}

}
