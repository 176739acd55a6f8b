package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.StreamResumed.Source;
import io.lentilslip.core.relay.Exchange.Phase;
import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import io.lentilslip.core.relay.RequestHead.Resumption;
import io.lentilslip.core.relay.Upstreams.UpstreamState;

/**
 * Rules that find the software version at which a caller's stream continues. The ledger
 * has the version of each turn that is sent. If it does not have one, for example during
 * an outage of the log, the other relays are asked. Without an answer the stream
 * continues only if its service is known to have had a single version since before the
 * stream can have started; otherwise its caller has to start it again. A relay may be out
 * of step without knowing it, so that the versions that it has seen and those that are
 * gone count only once a read of the list of upstreams that began after the request has
 * reached the end: what began the stream was listed before. A retry at another version
 * holds its events until the log has it, and an attempt that was read from the log counts
 * once it is read again after the request, so that an earlier attempt never stands for
 * them. Used by one thread.
 */
final class StreamRules {

	private final RelayState state;

	private final ExchangeCompletion completion;

	private long lastConfirmation;

	StreamRules(RelayState state, ExchangeCompletion completion) {
		this.state = state;
		this.completion = completion;
	}

	/**
	 * Looks up the version of the stream that a request resumes.
	 * @param exchange the exchange of the request
	 * @return whether the request can be handled further; otherwise it waits or is
	 * refused
	 */
	boolean resolve(Exchange exchange) {
		Optional<Resumption> resumption = exchange.resumption().filter((resumed) -> resumed.lastEvent() > 0);
		if (resumption.isEmpty() || exchange.softwareVersion().isPresent()) {
			return true;
		}
		Optional<StreamAttempt> known = request(exchange).flatMap(this.state::findFinalAttempt);
		if (known.isPresent()) {
			return continueAt(exchange, known.get().version(), Source.LEDGER);
		}
		boolean inLog = request(exchange).flatMap(this.state.streamVersions::find).isPresent()
				&& this.state.connectivity == Connectivity.LOG;
		if (request(exchange).isEmpty() || (this.state.linkedPeers.isEmpty() && !inLog)) {
			return continueAtOnlyVersion(exchange);
		}
		exchange.transitionTo(Phase.WAITING_FOR_VERSION);
		this.state.awaitingVersion.put(exchange.number(), exchange);
		if (!this.state.linkedPeers.isEmpty()) {
			this.state.emit(
					new RelayEffect.RequestStreamVersion(List.copyOf(this.state.linkedPeers), request(exchange).get()));
		}
		this.state.emit(new RelayEffect.ReadLog());
		this.state.startTimer(exchange, inLog ? RelaySettings.CONFIRMATION_TIMEOUT : RelaySettings.REPLICA_TIMEOUT,
				TimerKind.STREAM_VERSION);
		return false;
	}

	/**
	 * Handles a read that reached the end of the log. A retry at another version is in
	 * the log before its events are forwarded, so that a read that began after the
	 * caller's attempt has it.
	 * @param sentAt when the read was sent
	 */
	void logEndRead(long sentAt) {
		this.state.logEndReadAt = Math.max(this.state.logEndReadAt, sentAt);
		this.state.awaitingVersion.values()
			.stream()
			.filter((exchange) -> exchange.request().now() <= sentAt)
			.flatMap((exchange) -> request(exchange).stream())
			.forEach(this.state.streamVersions::markFinal);
	}

	/**
	 * Returns the waiting requests whose streams can continue now.
	 * @param source how their versions became known
	 * @return the exchanges
	 */
	List<Exchange> takeResolved(Source source) {
		List<Exchange> resolved = new ArrayList<>();
		for (Exchange exchange : List.copyOf(this.state.awaitingVersion.values())) {
			Optional<StreamAttempt> attempt = request(exchange).flatMap(this.state::findFinalAttempt);
			if (attempt.isPresent() && continueAt(exchange, attempt.get().version(), source)) {
				resolved.add(exchange);
			}
		}
		return resolved;
	}

	/**
	 * Decides without an answer of other relays.
	 * @param exchange the waiting exchange
	 * @return whether the request can be handled further; otherwise it is refused
	 */
	boolean timedOut(Exchange exchange) {
		return exchange.phase() == Phase.WAITING_FOR_VERSION
				&& !this.state.awaitingUpstreams.containsKey(exchange.number()) && continueAtOnlyVersion(exchange);
	}

	/**
	 * Decides about the requests that waited for a complete list of upstreams.
	 * @param confirmation the number of the last request for it that has been met
	 * @return the exchanges that can be handled further; others are refused
	 */
	List<Exchange> takeConfirmed(long confirmation) {
		List<Exchange> resolved = new ArrayList<>();
		for (Map.Entry<Long, PendingConfirmation> waiting : List.copyOf(this.state.awaitingUpstreams.entrySet())) {
			Exchange exchange = this.state.exchanges.get(waiting.getKey());
			PendingConfirmation pending = waiting.getValue();
			if (pending.number() <= confirmation && confirmed(exchange, pending.source())) {
				resolved.add(exchange);
			}
		}
		return resolved;
	}

	void confirmationTimedOut(Exchange exchange) {
		if (this.state.awaitingUpstreams.containsKey(exchange.number())) {
			refuseUnknown(exchange);
		}
	}

	/**
	 * Records an attempt that another relay knows to be the last one.
	 * @param received the event
	 */
	void versionReceived(RelayEvent.StreamVersionReceived received) {
		this.state.recordFinalAttempt(received.run(), received.attempt());
	}

	/**
	 * Answers another relay, unless there may be an attempt that this one does not know.
	 * @param requested the event
	 */
	void versionRequested(RelayEvent.StreamVersionRequested requested) {
		Optional<RunId> run = this.state.streamVersions.lastRun(requested.request());
		this.state.findFinalAttempt(requested.request())
			.ifPresent((attempt) -> this.state
				.emit(new RelayEffect.SendStreamVersion(requested.peer(), run.orElseThrow(), attempt)));
	}

	/**
	 * Records that an attempt of a stream is sent.
	 * @param exchange the exchange, with its new attempt
	 * @param upstream the upstream
	 * @return the attempt, or empty if the stream can't be resumed
	 */
	Optional<StreamAttempt> recordSend(Exchange exchange, Upstream upstream) {
		if (!exchange.route().resumable()) {
			return Optional.empty();
		}
		StreamAttempt attempt = new StreamAttempt(SoftwareVersion.of(upstream), exchange.attempt());
		this.state.recordFinalAttempt(exchange.run(), attempt);
		return Optional.of(attempt);
	}

	/**
	 * Returns the upstreams to which a request can be sent. A stream continues at its
	 * version only, and upstreams that have begun to drain are used if no other one is
	 * left. A retry of a stream without events prefers the version of the last attempt,
	 * and changes it only if the log can record that.
	 * @param exchange the exchange
	 * @param service the service that is selected for the request
	 * @return the upstreams in groups, the preferred group first
	 */
	List<List<UpstreamState>> candidates(Exchange exchange, String service) {
		if (exchange.softwareVersion().isPresent()) {
			List<UpstreamState> usable = usable(exchange, exchange.softwareVersion().get()).toList();
			return List.of(notDraining(usable), usable);
		}
		List<UpstreamState> available = this.state.upstreams.available(service);
		Optional<SoftwareVersion> last = exchange.upstream()
			.filter((ignored) -> exchange.route().resumable())
			.map(SoftwareVersion::of);
		if (last.isEmpty()) {
			return List.of(available);
		}
		boolean recordable = this.state.connectivity == Connectivity.LOG || exchange.head().turn().isEmpty();
		List<UpstreamState> sameVersion = ofVersion(available, last.get());
		return recordable ? List.of(sameVersion, available) : List.of(sameVersion);
	}

	/**
	 * Returns the version of the last attempt of a stream, in this run or else in an
	 * earlier one.
	 * @param exchange the exchange
	 * @return the version, or empty if there is none or the stream can't be resumed
	 */
	Optional<SoftwareVersion> lastVersion(Exchange exchange) {
		return exchange.upstream()
			.map(SoftwareVersion::of)
			.or(() -> this.state.streamVersions.find(exchange.id()).map(StreamAttempt::version))
			.filter((ignored) -> exchange.route().resumable());
	}

	private static List<UpstreamState> notDraining(List<UpstreamState> candidates) {
		return candidates.stream().filter((candidate) -> !candidate.upstream().draining()).toList();
	}

	private static List<UpstreamState> ofVersion(List<UpstreamState> candidates, SoftwareVersion version) {
		return candidates.stream().filter((candidate) -> version.isOf(candidate.upstream())).toList();
	}

	/**
	 * Returns whether a stream can't continue because no upstream of its version is left.
	 * @param exchange the exchange
	 * @return {@code true} if it can't
	 */
	boolean isVersionGone(Exchange exchange) {
		return exchange.softwareVersion()
			.filter((version) -> usable(exchange, version).findAny().isEmpty())
			.isPresent();
	}

	// A route may have moved to another service while its caller held the stream.
	private Stream<UpstreamState> usable(Exchange exchange, SoftwareVersion version) {
		boolean routed = exchange.route()
			.services()
			.stream()
			.anyMatch((target) -> target.service().equals(version.service()));
		return routed ? this.state.upstreams.available(version, this.state.now).stream() : Stream.empty();
	}

	private static Optional<String> request(Exchange exchange) {
		return exchange.resumption().flatMap(Resumption::request);
	}

	private boolean continueAt(Exchange exchange, SoftwareVersion version, Source source) {
		exchange.continueAt(version);
		if (!this.state.upstreams.initialized()) {
			return refuseUnknown(exchange);
		}
		return isVersionGone(exchange) ? awaitUpstreams(exchange, source) : accept(exchange, source);
	}

	private boolean continueAtOnlyVersion(Exchange exchange) {
		return onlyVersion(exchange).isPresent() ? awaitUpstreams(exchange, Source.ONLY_VERSION)
				: refuseUnknown(exchange);
	}

	private Optional<SoftwareVersion> onlyVersion(Exchange exchange) {
		// The log has the attempts of all relays, so that a relay knows the versions from
		// before its start once it has read it.
		boolean listCurrent = this.state.connectivity == Connectivity.LOG && this.state.caughtUp && !this.state.logStale
				&& this.state.upstreams.initialized();
		long since = this.state.now - this.state.streamRetention().toMillis();
		return Optional.of(exchange.route().services())
			.filter((services) -> listCurrent && services.size() == 1)
			.map((services) -> services.getFirst().service())
			.filter(this.state::knowsVersionHistory)
			.filter((service) -> this.state.earlierRoutes.ledOnlyTo(service, exchange.head(), since))
			.flatMap((service) -> this.state.upstreams.onlyVersion(service, since));
	}

	private boolean awaitUpstreams(Exchange exchange, Source source) {
		if (this.state.connectivity != Connectivity.LOG) {
			return refuseUnknown(exchange);
		}
		PendingConfirmation pending = this.state.awaitingUpstreams.get(exchange.number());
		if (pending != null) {
			this.state.awaitingUpstreams.put(exchange.number(), new PendingConfirmation(pending.number(), source));
			return false;
		}
		exchange.transitionTo(Phase.WAITING_FOR_VERSION);
		this.lastConfirmation++;
		this.state.awaitingVersion.put(exchange.number(), exchange);
		this.state.awaitingUpstreams.put(exchange.number(), new PendingConfirmation(this.lastConfirmation, source));
		this.state.emit(new RelayEffect.ConfirmUpstreams(this.lastConfirmation));
		this.state.startTimer(exchange, RelaySettings.CONFIRMATION_TIMEOUT, TimerKind.UPSTREAM_CONFIRMATION);
		return false;
	}

	private boolean confirmed(Exchange exchange, Source source) {
		Optional<SoftwareVersion> version = exchange.softwareVersion().or(() -> onlyVersion(exchange));
		if (version.isEmpty()) {
			return refuseUnknown(exchange);
		}
		exchange.continueAt(version.get());
		if (isVersionGone(exchange)) {
			recordSource(Source.GONE);
			this.completion.refuse(exchange, Refusal.VERSION_GONE, Optional.empty());
			return false;
		}
		return accept(exchange, source);
	}

	private boolean accept(Exchange exchange, Source source) {
		this.state.awaitingVersion.remove(exchange.number());
		this.state.awaitingUpstreams.remove(exchange.number());
		recordSource(source);
		return true;
	}

	private boolean refuseUnknown(Exchange exchange) {
		recordSource(Source.UNKNOWN);
		this.completion.refuse(exchange, Refusal.VERSION_UNKNOWN, Optional.of(RelaySettings.RETRY_AFTER));
		return false;
	}

	private void recordSource(Source source) {
		this.state.emit(new RelayEffect.RecordMeasurement(new Measurement.StreamResumed(source)));
	}

	/**
	 * Immutable request for a complete list of upstreams.
	 *
	 * @param number its number
	 * @param source how the version became known
	 */
	record PendingConfirmation(long number, Source source) {

	}

}
