package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lentilslip.core.relay.Upstreams.UpstreamState;

/**
 * Decides which failures of upstreams count against the requests that they ran. An
 * attempt that ended without a response makes its request a suspect. It counts only once
 * the incarnation has ended without a drain: if the upstream refuses connections, or if
 * it is replaced in the list or gone from it, and if the request has not been answered
 * before. A connection may also break while the upstream lives on. Used by one thread.
 */
final class FailureRules {

	/**
	 * The time within which an incarnation must have ended for a broken connection to be
	 * a sign of it. Longer than an upstream without heartbeats is listed.
	 */
	private static final Duration SUSPICION_TIME = Duration.ofSeconds(10);

	/**
	 * The delay of the second probe; each further one has this factor. An upstream may
	 * close its connections shortly before it stops accepting new ones.
	 */
	private static final Duration PROBE_DELAY = Duration.ofMillis(100);

	private static final int PROBE_DELAY_FACTOR = 4;

	private static final int MAX_PROBES = 4;

	private final RelayState state;

	private final UnansweredAttempts suspects = new UnansweredAttempts();

	/**
	 * The number of probes of each incarnation that is being probed.
	 */
	private final Map<String, Integer> probes = new HashMap<>();

	FailureRules(RelayState state) {
		this.state = state;
	}

	/**
	 * Handles the break of the connection of the current attempt.
	 * @param exchange the exchange
	 */
	void connectionBroken(Exchange exchange) {
		if (recordUnlessListed(exchange)) {
			return;
		}
		failuresOf(exchange).forEach((failure) -> this.suspects.add(failure,
				new UnansweredAttempts.Suspicion(this.state.now, expiry(), true)));
		Upstream upstream = exchange.upstream().orElseThrow();
		if (this.suspects.contains(upstream.incarnationId())
				&& this.probes.putIfAbsent(upstream.incarnationId(), 1) == null) {
			this.state.emit(new RelayEffect.ProbeUpstream(upstream, Duration.ZERO));
		}
	}

	/**
	 * Handles an attempt that is abandoned without a response. An upstream that ends
	 * without closing its connections looks like a slow one.
	 * @param exchange the exchange
	 */
	void attemptAbandoned(Exchange exchange) {
		if (recordUnlessListed(exchange)) {
			return;
		}
		// Callers often leave a stream that they have begun to read.
		long until = (exchange.eventCount() > 0) ? expiry() : Long.MAX_VALUE;
		failuresOf(exchange).forEach((failure) -> this.suspects.add(failure,
				new UnansweredAttempts.Suspicion(this.state.now, until, false)));
	}

	/**
	 * Records the failure at once if the incarnation is no longer listed, or nothing if
	 * it ends as planned.
	 * @param exchange the exchange
	 * @return {@code false} if the incarnation is listed and does not drain
	 */
	private boolean recordUnlessListed(Exchange exchange) {
		if (exchange.upstreamEnded()) {
			failuresOf(exchange).forEach(this.state::upstreamFailed);
			return true;
		}
		return this.state.upstreamOf(exchange).map(UpstreamState::upstream).filter((u) -> !u.draining()).isEmpty();
	}

	private long expiry() {
		return this.state.now + SUSPICION_TIME.toMillis();
	}

	/**
	 * Returns the failures to record if the upstream of the current attempt has ended.
	 * The request may return with other content, for example after further turns of
	 * another program, so the failure counts for its target as well. A request runs from
	 * its first event, so events do not show that it is harmless.
	 * @param exchange the exchange
	 * @return the failures
	 */
	private List<LedgerEntry.UpstreamFailed> failuresOf(Exchange exchange) {
		String incarnation = exchange.upstream().orElseThrow().incarnationId();
		return List.of(new LedgerEntry.UpstreamFailed(exchange.run(), exchange.targetDigest(), incarnation),
				new LedgerEntry.UpstreamFailed(exchange.run(), exchange.digest(), incarnation));
	}

	/**
	 * Handles a response, which shows that its upstream has survived earlier attempts.
	 * @param exchange the exchange that it belongs to
	 */
	void responded(Exchange exchange) {
		exchange.upstream()
			.ifPresent((upstream) -> this.suspects.responded(upstream.incarnationId(), exchange.sentAt()));
	}

	/**
	 * Handles the answer of a request, after which its earlier attempts are no suspects.
	 * @param exchange the exchange of the request
	 */
	void answered(Exchange exchange) {
		this.suspects.answered(exchange.digest());
		this.suspects.answered(exchange.targetDigest());
	}

	/**
	 * Handles an incarnation that was replaced in the list or removed from it. One that
	 * was draining has ended as planned.
	 * @param ended the upstream, in its last state
	 */
	void incarnationEnded(Upstream ended) {
		List<LedgerEntry.UpstreamFailed> failures = this.suspects.incarnationEnded(ended.incarnationId(),
				this.state.now);
		if (ended.draining()) {
			return;
		}
		failures.forEach(this.state::upstreamFailed);
		this.state.exchanges.values().forEach((exchange) -> exchange.recordUpstreamEnd(ended.incarnationId()));
	}

	/**
	 * Handles the result of a probe.
	 * @param probed the result
	 */
	void upstreamProbed(RelayEvent.UpstreamProbed probed) {
		String incarnation = probed.upstream().incarnationId();
		int count = this.probes.getOrDefault(incarnation, MAX_PROBES);
		Optional<Upstream> listed = this.state.upstreams.findIncarnation(incarnation).map(UpstreamState::upstream);
		if (probed.refused() && listed.isPresent()) {
			List<LedgerEntry.UpstreamFailed> failures = this.suspects.incarnationEnded(incarnation, this.state.now);
			if (!listed.get().draining()) {
				failures.forEach(this.state::upstreamFailed);
			}
		}
		if (count >= MAX_PROBES || !this.suspects.contains(incarnation)) {
			this.probes.remove(incarnation);
			return;
		}
		this.probes.put(incarnation, count + 1);
		this.state.emit(new RelayEffect.ProbeUpstream(probed.upstream(),
				PROBE_DELAY.multipliedBy((long) Math.pow(PROBE_DELAY_FACTOR, count - 1))));
	}

}
