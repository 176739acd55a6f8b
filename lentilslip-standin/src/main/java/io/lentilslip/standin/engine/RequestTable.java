package io.lentilslip.standin.engine;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The requests that an engine knows. Those that ended are kept for a time, and no more
 * than {@value #MAXIMUM_ENDED} of them. Where two requests came under one name, the name
 * means the later one. Not safe for use by several threads.
 */
final class RequestTable {

	private static final int MAXIMUM_ENDED = 4_096;

	private final long keptNanos;

	private final Map<Long, KeptRequest> active = new HashMap<>();

	private final Map<Long, KeptRequest> ended = new LinkedHashMap<>();

	private final Map<String, KeptRequest> named = new HashMap<>();

	/**
	 * Creates a table without requests.
	 * @param keptNanos how long a request is kept after its end
	 */
	RequestTable(long keptNanos) {
		this.keptNanos = keptNanos;
	}

	/**
	 * Adds a request that waits.
	 * @param request the request
	 */
	void add(KeptRequest request) {
		this.active.put(request.number(), request);
		this.named.put(request.id(), request);
	}

	/**
	 * Returns a request that waits or runs.
	 * @param number the engine's number for it
	 * @return the request, or empty if it has ended or never came
	 */
	Optional<KeptRequest> active(long number) {
		return Optional.ofNullable(this.active.get(number));
	}

	/**
	 * Returns the latest request of a name.
	 * @param id the caller's name for the request
	 * @param now the nanoseconds of the engine's clock
	 * @return the request, or empty if it is not kept
	 */
	Optional<KeptRequest> named(String id, long now) {
		forget(now);
		return Optional.ofNullable(this.named.get(id));
	}

	/**
	 * Notes the end of a request.
	 * @param request the request
	 * @param state the state that it ended in
	 * @param now the nanoseconds of the engine's clock
	 */
	void end(KeptRequest request, KeptRequest.State state, long now) {
		this.active.remove(request.number());
		this.ended.put(request.number(), request);
		request.end(state, now);
		forget(now);
	}

	private void forget(long now) {
		Iterator<KeptRequest> iterator = this.ended.values().iterator();
		while (iterator.hasNext()) {
			KeptRequest oldest = iterator.next();
			if (this.ended.size() <= MAXIMUM_ENDED && now - oldest.endedAt() < this.keptNanos) {
				return;
			}
			iterator.remove();
			this.named.remove(oldest.id(), oldest);
		}
	}

}
