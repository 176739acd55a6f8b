package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * What a relay believes of the upstreams: who is listed, what each runs, what each has in
 * its cache, and which are avoided. A wrong belief costs time, never a wrong answer. Used
 * by one thread.
 */
final class Upstreams {

	/**
	 * How long a run that nobody settled counts as load. Its relay died; callers do not
	 * wait longer than this.
	 */
	private static final long RUN_EXPIRY_MS = 5_000;

	/**
	 * How long an upstream's own count of its load is believed: about the time in which a
	 * plain service's queue turns over.
	 */
	private static final long REPORT_MAX_AGE_MS = 300;

	/**
	 * How many counts are passed on at once: enough for news of each upstream to reach
	 * all relays within a few messages, few enough for a message to stay in one packet.
	 */
	private static final int MAX_SHARED_LOADS = 16;

	/**
	 * How many lives are remembered by the order of their counts.
	 */
	private static final int MAX_REPORTING = 4096;

	private static final long INITIAL_EJECTION_MS = 500;

	private static final long MAX_EJECTION_MS = 4_000;

	/**
	 * How many requests are known to run, above what all relays of a site run at once.
	 * Ends that never come would let them grow without it.
	 */
	private static final int MAX_RUNNING = 50_000;

	private final Map<String, UpstreamState> byId = new HashMap<>();

	private final Map<String, UpstreamState> byIncarnation = new HashMap<>();

	private final Map<String, UpstreamState> running = new LinkedHashMap<>();

	private final Map<Integer, UpstreamState> byIncarnationHash = new HashMap<>();

	/**
	 * The upstreams that told their load, the one that did so last at the end.
	 */
	private final LinkedHashMap<Integer, UpstreamState> byReportTime = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Integer, UpstreamState> eldest) {
			return size() > MAX_REPORTING;
		}
	};

	private boolean initialized;

	void replace(List<Upstream> upstreams) {
		Set<String> ids = new HashSet<>();
		upstreams.forEach((upstream) -> ids.add(upstream.id()));
		Set.copyOf(this.byId.keySet()).stream().filter((id) -> !ids.contains(id)).forEach(this::remove);
		upstreams.forEach(this::put);
		this.initialized = true;
	}

	/**
	 * Takes what an upstream says of itself. A new life holds and knows nothing of the
	 * one before, so nothing that was believed of that one is kept.
	 * @param upstream the upstream
	 * @return whether it was taken: a claim of an earlier life changes nothing
	 */
	boolean put(Upstream upstream) {
		UpstreamState before = this.byId.get(upstream.id());
		if (before != null && !upstream.supersedes(before.upstream)) {
			return false;
		}
		boolean sameLife = before != null && before.upstream.incarnationId().equals(upstream.incarnationId());
		if (!sameLife) {
			remove(upstream.id());
		}
		UpstreamState now = sameLife ? before : new UpstreamState();
		now.upstream = upstream;
		this.byId.put(upstream.id(), now);
		this.byIncarnation.put(upstream.incarnationId(), now);
		this.byIncarnationHash.put(upstream.incarnationId().hashCode(), now);
		return true;
	}

	void remove(String id) {
		UpstreamState gone = this.byId.remove(id);
		if (gone != null) {
			this.byIncarnation.remove(gone.upstream.incarnationId());
			this.byIncarnationHash.remove(gone.upstream.incarnationId().hashCode());
			this.byReportTime.remove(gone.upstream.incarnationId().hashCode());
		}
	}

	/**
	 * Notes that an upstream runs a request of another relay.
	 * @param request the request
	 * @param upstream the upstream
	 * @param now when it began
	 */
	void requestStarted(String request, UpstreamState upstream, long now) {
		if (this.running.get(request) == upstream) {
			return;
		}
		addRun(request, upstream);
		upstream.requestStarted(request, now);
	}

	/**
	 * Notes that an upstream was sent a request by this relay.
	 * @param request the request
	 * @param upstream the upstream
	 * @param now when
	 */
	void requestSent(String request, UpstreamState upstream, long now) {
		addRun(request, upstream);
		upstream.requestSent(request, now);
	}

	private void addRun(String request, UpstreamState upstream) {
		requestEnded(request);
		this.running.put(request, upstream);
		if (this.running.size() > MAX_RUNNING) {
			requestEnded(this.running.keySet().iterator().next());
		}
	}

	/**
	 * Notes that a request has ended wherever it ran.
	 * @param request the request
	 */
	void requestEnded(String request) {
		UpstreamState upstream = this.running.remove(request);
		if (upstream != null) {
			upstream.requestEnded(request);
		}
	}

	/**
	 * Takes an upstream's own count of its load.
	 * @param upstream the upstream
	 * @param requests the requests that run or wait there
	 * @param at when it counted
	 */
	void loadReported(UpstreamState upstream, int requests, long at) {
		if (upstream.reported(requests, at)) {
			int life = upstream.upstream.incarnationId().hashCode();
			this.byReportTime.remove(life);
			this.byReportTime.put(life, upstream);
		}
	}

	/**
	 * Takes counts that another relay passes on. Older ones than are known change
	 * nothing.
	 * @param loads the counts
	 * @param now when
	 */
	void mergeLoads(List<UpstreamLoad> loads, long now) {
		for (UpstreamLoad load : loads) {
			UpstreamState upstream = this.byIncarnationHash.get(load.incarnationHash());
			if (upstream != null) {
				loadReported(upstream, load.requests(), now - load.ageMillis());
			}
		}
	}

	/**
	 * Returns the counts of load that were heard last, to be passed on.
	 * @param now when
	 * @return the counts that are still believed, a bounded number
	 */
	List<UpstreamLoad> recentLoads(long now) {
		List<UpstreamLoad> newest = new ArrayList<>();
		for (UpstreamState next : this.byReportTime.sequencedValues().reversed()) {
			long age = now - next.reportedAt;
			if (newest.size() == MAX_SHARED_LOADS) {
				break;
			}
			if (age < REPORT_MAX_AGE_MS) {
				newest.add(new UpstreamLoad(next.upstream.incarnationId().hashCode(), next.reported, (int) age));
			}
		}
		return newest;
	}

	boolean initialized() {
		return this.initialized;
	}

	Optional<UpstreamState> find(String id) {
		return Optional.ofNullable(this.byId.get(id));
	}

	/**
	 * Returns what is believed of one life of an upstream.
	 * @param life the name of the life
	 * @return the belief, or empty if that life is over or not known
	 */
	Optional<UpstreamState> findIncarnation(String life) {
		return Optional.ofNullable(this.byIncarnation.get(life));
	}

	/**
	 * Returns the upstreams of a service that take new work.
	 * @param service the service
	 * @return the upstreams
	 */
	List<UpstreamState> available(String service) {
		List<UpstreamState> taking = new ArrayList<>();
		for (UpstreamState candidate : this.byId.values()) {
			if (candidate.upstream.service().equals(service) && !candidate.upstream.draining()) {
				taking.add(candidate);
			}
		}
		return taking;
	}

	/**
	 * What is believed of one upstream. Used by one thread.
	 */
	static final class UpstreamState {

		private Upstream upstream;

		private final Map<String, Run> runs = new LinkedHashMap<>();

		private final LinkedHashMap<Long, Integer> cache = new LinkedHashMap<>(64, 0.75f, true);

		private long cachedTokens;

		private int reported;

		private long reportedAt = Long.MIN_VALUE / 2;

		private long ejectedUntil;

		private long ejectionMillis = INITIAL_EJECTION_MS;

		Upstream upstream() {
			return this.upstream;
		}

		int slots() {
			return Math.max(1, this.upstream.slots());
		}

		void requestStarted(String request, long now) {
			this.runs.put(request, new Run(now, false));
		}

		void requestSent(String request, long now) {
			this.runs.put(request, new Run(now, true));
		}

		void requestEnded(String request) {
			this.runs.remove(request);
		}

		private boolean reported(int requests, long at) {
			if (at < this.reportedAt) {
				return false;
			}
			this.reported = requests;
			this.reportedAt = at;
			return true;
		}

		/**
		 * Returns how old the upstream's own count of its load is.
		 * @param now when
		 * @return the age in milliseconds, or empty if it has not told any
		 */
		OptionalLong reportAge(long now) {
			return (this.reportedAt >= 0) ? OptionalLong.of(now - this.reportedAt) : OptionalLong.empty();
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
		 * Returns how many requests are believed to run or wait there: what the upstream
		 * counted last, with what this relay has sent since, and for want of a fresh
		 * count what this relay and the log know of.
		 * @param now when
		 * @return the number
		 */
		int load(long now) {
			this.runs.values().removeIf((run) -> now - run.startedAt() > RUN_EXPIRY_MS);
			if (now - this.reportedAt >= REPORT_MAX_AGE_MS) {
				return this.runs.size();
			}
			int own = 0;
			int since = 0;
			for (Run run : this.runs.values()) {
				own += run.local() ? 1 : 0;
				since += (run.local() && run.startedAt() > this.reportedAt) ? 1 : 0;
			}
			return Math.max(own, this.reported + since);
		}

		/**
		 * Notes that the parts of a prompt are now in the upstream's cache.
		 * @param prompt the parts, in order
		 * @param capacity the tokens that the cache holds
		 */
		void addToCache(List<PromptPart> prompt, long capacity) {
			for (PromptPart part : prompt) {
				Integer before = this.cache.put(part.id(), part.tokens());
				this.cachedTokens += part.tokens() - ((before != null) ? before : 0);
			}
			while (this.cachedTokens > capacity && !this.cache.isEmpty()) {
				this.cachedTokens -= this.cache.pollFirstEntry().getValue();
			}
		}

		/**
		 * Returns how many tokens of a prompt have to be read. A part counts as cached
		 * only if all parts before it are.
		 * @param prompt the parts, in order
		 * @return the tokens
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
		 * A request that runs. Immutable.
		 *
		 * @param since when it began
		 * @param own whether this relay sent it
		 */
		private record Run(long startedAt, boolean local) {

		}

	}

}
