package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.lentilslip.core.admission.ServiceRoom;

/**
 * A relay's view of the upstreams: which are listed, and the estimated load, cache
 * content and ejection of each. A wrong estimate costs latency, never correctness. Not
 * thread-safe.
 */
final class Upstreams {

	/**
	 * The time after which an unsettled request no longer counts as load, since its relay
	 * has failed. Exceeds the timeouts of callers.
	 */
	private static final long RUN_EXPIRY_MS = 5_000;

	/**
	 * The time for which a load report is used: about the time in which the queue of a
	 * plain service drains.
	 */
	private static final long REPORT_MAX_AGE_MS = 300;

	/**
	 * The maximum number of load reports in a message: enough to reach all relays within
	 * a few messages, few enough to fit into one packet.
	 */
	private static final int MAX_SHARED_LOADS = 16;

	/**
	 * The maximum number of incarnations ordered by their load reports.
	 */
	private static final int MAX_REPORTING = 4096;

	private static final long INITIAL_EJECTION_MS = 500;

	private static final long MAX_EJECTION_MS = 4_000;

	/**
	 * The maximum number of tracked requests, more than a site has in flight. Bounds
	 * memory if requests are started but never reported as finished.
	 */
	private static final int MAX_RUNNING = 50_000;

	/**
	 * The time for which a draining upstream still receives streams of its version: half
	 * of the time for which it accepts requests.
	 */
	private static final long DRAIN_USE_MS = 1_000;

	/**
	 * The maximum number of software versions that are remembered.
	 */
	private static final int MAX_VERSIONS = 256;

	private final Map<String, UpstreamState> byId = new HashMap<>();

	private final Map<String, UpstreamState> byIncarnation = new HashMap<>();

	private final Map<RunId, UpstreamState> running = new LinkedHashMap<>();

	private final Map<Integer, UpstreamState> byIncarnationHash = new HashMap<>();

	/**
	 * The upstreams that have reported their load, the most recent report last.
	 */
	private final LinkedHashMap<Integer, UpstreamState> byReportTime = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Integer, UpstreamState> eldest) {
			return size() > MAX_REPORTING;
		}
	};

	/**
	 * When each software version was last listed or sent a stream, the most recent last.
	 */
	private final LinkedHashMap<SoftwareVersion, Long> lastSeen = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<SoftwareVersion, Long> eldest) {
			return size() > MAX_VERSIONS;
		}
	};

	private List<Upstream> ended = new ArrayList<>();

	private boolean initialized;

	void replace(List<Upstream> upstreams, long now) {
		Set<String> ids = new HashSet<>();
		upstreams.forEach((upstream) -> ids.add(upstream.id()));
		Set.copyOf(this.byId.keySet()).stream().filter((id) -> !ids.contains(id)).forEach((id) -> remove(id, now));
		upstreams.forEach((upstream) -> put(upstream, now));
		this.initialized = true;
	}

	/**
	 * Adds or updates an upstream. A new incarnation starts without cache or running
	 * requests, so the state of the previous one is discarded.
	 * @param upstream the upstream
	 * @param now the current time
	 * @return whether the record was applied; false if it is of an earlier incarnation
	 */
	boolean put(Upstream upstream, long now) {
		UpstreamState previous = this.byId.get(upstream.id());
		if (previous != null && !upstream.supersedes(previous.upstream)) {
			return false;
		}
		boolean sameIncarnation = previous != null
				&& previous.upstream.incarnationId().equals(upstream.incarnationId());
		if (!sameIncarnation) {
			remove(upstream.id(), now);
		}
		UpstreamState state = sameIncarnation ? previous : new UpstreamState();
		state.update(upstream, now);
		recordVersion(SoftwareVersion.of(upstream), now);
		this.byId.put(upstream.id(), state);
		this.byIncarnation.put(upstream.incarnationId(), state);
		this.byIncarnationHash.put(upstream.incarnationId().hashCode(), state);
		return true;
	}

	void remove(String id, long now) {
		UpstreamState removed = this.byId.remove(id);
		if (removed != null) {
			recordVersion(SoftwareVersion.of(removed.upstream), now);
			this.byIncarnation.remove(removed.upstream.incarnationId());
			this.byIncarnationHash.remove(removed.upstream.incarnationId().hashCode());
			this.byReportTime.remove(removed.upstream.incarnationId().hashCode());
			this.ended.add(removed.upstream);
		}
	}

	/**
	 * Records that a software version serves.
	 * @param version the version
	 * @param now the current time
	 */
	void recordVersion(SoftwareVersion version, long now) {
		this.lastSeen.remove(version);
		this.lastSeen.put(version, now);
	}

	/**
	 * Returns the incarnations that were removed or replaced since the last call.
	 * @return the upstreams, in their last state
	 */
	List<Upstream> drainEnded() {
		List<Upstream> drained = this.ended;
		this.ended = new ArrayList<>();
		return drained;
	}

	/**
	 * Records that an upstream runs a request of another relay.
	 * @param request the run of the request
	 * @param upstream the upstream
	 * @param now the time at which it started
	 */
	void requestStarted(RunId request, UpstreamState upstream, long now) {
		if (this.running.get(request) == upstream) {
			return;
		}
		addRun(request, upstream);
		upstream.requestStarted(request, now);
	}

	/**
	 * Records that this relay sent a request to an upstream.
	 * @param request the run of the request
	 * @param upstream the upstream
	 * @param now the current time
	 */
	void requestSent(RunId request, UpstreamState upstream, long now) {
		addRun(request, upstream);
		upstream.requestSent(request, now);
	}

	private void addRun(RunId request, UpstreamState upstream) {
		requestEnded(request);
		this.running.put(request, upstream);
		if (this.running.size() > MAX_RUNNING) {
			requestEnded(this.running.keySet().iterator().next());
		}
	}

	/**
	 * Records that a request has ended, at whichever upstream it ran.
	 * @param request the run of the request
	 */
	void requestEnded(RunId request) {
		UpstreamState upstream = this.running.remove(request);
		if (upstream != null) {
			upstream.requestEnded(request);
		}
	}

	/**
	 * Records a load report of an upstream.
	 * @param upstream the upstream
	 * @param load the report
	 * @param at the time of the report
	 */
	void loadReported(UpstreamState upstream, ResponseHead.Load load, long at) {
		if (upstream.updateReport(load.requests(), at)) {
			upstream.slowdownPercent = load.slowdownPercent();
			upstream.slowdownAt = at;
			recordReport(upstream);
		}
	}

	private void recordReport(UpstreamState upstream) {
		int hash = upstream.upstream.incarnationId().hashCode();
		this.byReportTime.remove(hash);
		this.byReportTime.put(hash, upstream);
	}

	/**
	 * Merges load reports shared by another relay. Outdated reports are ignored.
	 * @param loads the reports
	 * @param now the current time
	 */
	void mergeLoads(List<UpstreamLoad> loads, long now) {
		for (UpstreamLoad load : loads) {
			UpstreamState upstream = this.byIncarnationHash.get(load.incarnationHash());
			if (upstream != null && upstream.updateReport(load.requests(), now - load.ageMillis())) {
				recordReport(upstream);
			}
		}
	}

	/**
	 * Returns the most recent load reports, to be shared with other relays.
	 * @param now the current time
	 * @return a bounded number of reports that have not expired
	 */
	List<UpstreamLoad> recentLoads(long now) {
		List<UpstreamLoad> recent = new ArrayList<>();
		for (UpstreamState next : this.byReportTime.sequencedValues().reversed()) {
			long age = now - next.reportedAt;
			if (recent.size() == MAX_SHARED_LOADS) {
				break;
			}
			if (age < REPORT_MAX_AGE_MS) {
				recent.add(new UpstreamLoad(next.upstream.incarnationId().hashCode(), next.reportedLoad, (int) age));
			}
		}
		return recent;
	}

	boolean initialized() {
		return this.initialized;
	}

	Optional<UpstreamState> find(String id) {
		return Optional.ofNullable(this.byId.get(id));
	}

	/**
	 * Finds an incarnation of an upstream.
	 * @param incarnationId the id of the incarnation
	 * @return its state, or empty if the incarnation is replaced or unknown
	 */
	Optional<UpstreamState> findIncarnation(String incarnationId) {
		return Optional.ofNullable(this.byIncarnation.get(incarnationId));
	}

	/**
	 * Returns the upstreams of a service that accept new requests.
	 * @param service the service
	 * @return the upstreams
	 */
	List<UpstreamState> available(String service) {
		List<UpstreamState> available = new ArrayList<>();
		for (UpstreamState candidate : this.byId.values()) {
			if (candidate.isAvailable(service)) {
				available.add(candidate);
			}
		}
		return available;
	}

	/**
	 * Returns the upstreams at which a stream can continue: those of its version that
	 * accept new requests or have just begun to drain.
	 * @param version the version of the stream
	 * @param now the current time
	 * @return the upstreams
	 */
	List<UpstreamState> available(SoftwareVersion version, long now) {
		List<UpstreamState> available = new ArrayList<>();
		for (UpstreamState candidate : this.byId.values()) {
			if (version.isOf(candidate.upstream) && candidate.acceptsResumedStreams(now)) {
				available.add(candidate);
			}
		}
		return available;
	}

	/**
	 * Returns the only software version of a service.
	 * @param service the service
	 * @param since the time from which on other versions count
	 * @return the version, or empty if there were several
	 */
	Optional<SoftwareVersion> onlyVersion(String service, long since) {
		Set<SoftwareVersion> versions = new HashSet<>();
		this.byId.values()
			.stream()
			.map((state) -> SoftwareVersion.of(state.upstream))
			.filter((version) -> version.service().equals(service))
			.forEach(versions::add);
		this.lastSeen.forEach((version, at) -> {
			if (at >= since && version.service().equals(service)) {
				versions.add(version);
			}
		});
		return (versions.size() == 1) ? Optional.of(versions.iterator().next()) : Optional.empty();
	}

	/**
	 * Estimates the room of a service. Ejected upstreams provide none. While the log is
	 * unavailable, the requests in it may have ended long ago, so only load reports and
	 * the requests of this relay count.
	 * @param service the service
	 * @param holdTime the mean time for which a request holds a place
	 * @param logAvailable whether the requests in the log count
	 * @param now the current time
	 * @return the room
	 */
	ServiceRoom room(String service, Duration holdTime, boolean logAvailable, long now) {
		double places = 0;
		int requests = 0;
		for (UpstreamState candidate : this.byId.values()) {
			if (candidate.isAvailable(service) && !candidate.isEjected(now)) {
				places += candidate.slots() * (double) ResponseHead.Load.USUAL_PERCENT / candidate.slowdownPercent(now);
				requests += logAvailable ? candidate.load(now) : candidate.reportedLoad(now);
			}
		}
		return new ServiceRoom(places, requests, holdTime);
	}

	/**
	 * Estimated state of one upstream incarnation. Not thread-safe.
	 */
	static final class UpstreamState {

		private Upstream upstream;

		/**
		 * The running requests, the earliest first.
		 */
		private final LinkedHashMap<RunId, Run> runs = new LinkedHashMap<>();

		private int localRuns;

		/**
		 * The number of running requests that this relay sent after the last load report.
		 */
		private int sentSinceReport;

		/**
		 * The size of the parts of a cache that is indexed whole. Bounds the number of
		 * parts, since parts of few tokens, or none, take little room of the cache but as
		 * much memory as others.
		 */
		private static final int TOKENS_PER_INDEXED_PART = 128;

		/**
		 * The number of parts that is indexed of the smallest cache.
		 */
		private static final int MIN_INDEXED_PARTS = 64;

		private final LinkedHashMap<Long, Integer> cache = new LinkedHashMap<>(64, 0.75f, true);

		private long cachedTokens;

		private int reportedLoad;

		private long reportedAt = Long.MIN_VALUE / 2;

		private int slowdownPercent = ResponseHead.Load.USUAL_PERCENT;

		private long slowdownAt = Long.MIN_VALUE / 2;

		private OptionalLong drainingSince = OptionalLong.empty();

		private long ejectedUntil;

		private long ejectionMillis = INITIAL_EJECTION_MS;

		Upstream upstream() {
			return this.upstream;
		}

		int slots() {
			return Math.max(1, this.upstream.slots());
		}

		private void update(Upstream updated, long now) {
			if (!updated.draining()) {
				this.drainingSince = OptionalLong.empty();
			}
			else if (this.drainingSince.isEmpty()) {
				// One that is first seen while it drains may have done so for long.
				this.drainingSince = OptionalLong.of((this.upstream != null) ? now : RelayState.NEVER);
			}
			this.upstream = updated;
		}

		private boolean acceptsResumedStreams(long now) {
			return this.drainingSince.isEmpty() || now - this.drainingSince.getAsLong() < DRAIN_USE_MS;
		}

		boolean isAvailable(String service) {
			return this.upstream.service().equals(service) && !this.upstream.draining();
		}

		void requestStarted(RunId request, long now) {
			addRun(request, new Run(now, false));
		}

		void requestSent(RunId request, long now) {
			addRun(request, new Run(now, true));
		}

		private void addRun(RunId request, Run run) {
			requestEnded(request);
			this.runs.put(request, run);
			this.localRuns += run.local() ? 1 : 0;
			this.sentSinceReport += isSentSinceReport(run) ? 1 : 0;
		}

		void requestEnded(RunId request) {
			Run removed = this.runs.remove(request);
			if (removed != null) {
				this.localRuns -= removed.local() ? 1 : 0;
				this.sentSinceReport -= isSentSinceReport(removed) ? 1 : 0;
			}
		}

		private boolean isSentSinceReport(Run run) {
			return run.local() && run.startedAt() > this.reportedAt;
		}

		private void removeExpired(long now) {
			while (!this.runs.isEmpty() && now - this.runs.firstEntry().getValue().startedAt() > RUN_EXPIRY_MS) {
				requestEnded(this.runs.firstEntry().getKey());
			}
		}

		private boolean updateReport(int requests, long at) {
			if (at < this.reportedAt) {
				return false;
			}
			this.reportedLoad = requests;
			this.reportedAt = at;
			this.sentSinceReport = 0;
			for (Run run : this.runs.sequencedValues().reversed()) {
				if (run.startedAt() <= at) {
					break;
				}
				this.sentSinceReport += run.local() ? 1 : 0;
			}
			return true;
		}

		/**
		 * Returns the age of the last load report.
		 * @param now the current time
		 * @return the age in milliseconds, or empty if there is no report
		 */
		OptionalLong reportAge(long now) {
			return (this.reportedAt >= 0) ? OptionalLong.of(now - this.reportedAt) : OptionalLong.empty();
		}

		/**
		 * Returns how long work takes at the upstream, in percent of the usual time.
		 * @param now the current time
		 * @return the percentage; the usual one without a recent report
		 */
		int slowdownPercent(long now) {
			return (now - this.slowdownAt < REPORT_MAX_AGE_MS) ? this.slowdownPercent : ResponseHead.Load.USUAL_PERCENT;
		}

		void recordFailure(long now) {
			this.ejectedUntil = now + this.ejectionMillis;
			this.ejectionMillis = Math.min(2 * this.ejectionMillis, MAX_EJECTION_MS);
		}

		void recordSuccess() {
			this.ejectedUntil = 0;
			this.ejectionMillis = INITIAL_EJECTION_MS;
		}

		boolean isEjected(long now) {
			return now < this.ejectedUntil;
		}

		/**
		 * Estimates the number of running and queued requests: the last load report plus
		 * the requests that this relay has sent since, or without a recent report the
		 * requests known from this relay and the log.
		 * @param now the current time
		 * @return the estimate
		 */
		int load(long now) {
			removeExpired(now);
			return hasRecentReport(now) ? reportedLoad(now) : this.runs.size();
		}

		private boolean hasRecentReport(long now) {
			return now - this.reportedAt < REPORT_MAX_AGE_MS;
		}

		/**
		 * Returns the requests that a recent load report and this relay know of.
		 * @param now the current time
		 * @return the number of requests
		 */
		int reportedLoad(long now) {
			if (!hasRecentReport(now)) {
				return this.localRuns;
			}
			return Math.max(this.localRuns, this.reportedLoad + this.sentSinceReport);
		}

		/**
		 * Records that the parts of a prompt are in the cache of the upstream.
		 * @param prompt the parts, in order
		 * @param capacity the capacity of the cache in tokens
		 */
		void addToCache(List<PromptPart> prompt, long capacity) {
			for (PromptPart part : prompt) {
				Integer previous = this.cache.put(part.id(), part.tokens());
				this.cachedTokens += part.tokens() - ((previous != null) ? previous : 0);
			}
			long maxParts = MIN_INDEXED_PARTS + capacity / TOKENS_PER_INDEXED_PART;
			while (!this.cache.isEmpty() && (this.cachedTokens > capacity || this.cache.size() > maxParts)) {
				this.cachedTokens -= this.cache.pollFirstEntry().getValue();
			}
		}

		/**
		 * Returns the number of parts that are assumed to be in the cache.
		 * @return the number
		 */
		int indexedParts() {
			return this.cache.size();
		}

		/**
		 * Returns the number of tokens of a prompt that have to be prefilled. A part
		 * counts as cached only if all preceding parts are.
		 * @param prompt the parts, in order
		 * @return the number of tokens
		 */
		long uncachedTokens(List<PromptPart> prompt) {
			long tokens = 0;
			boolean missing = false;
			for (PromptPart part : prompt) {
				missing = missing || !this.cache.containsKey(part.id());
				tokens += missing ? part.tokens() : 0;
			}
			return tokens;
		}

		/**
		 * Immutable record of a running request.
		 *
		 * @param startedAt the time at which it started
		 * @param local whether this relay sent it
		 */
		private record Run(long startedAt, boolean local) {

		}

	}

}
