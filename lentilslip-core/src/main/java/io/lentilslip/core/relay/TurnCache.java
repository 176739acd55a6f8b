package io.lentilslip.core.relay;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * LRU cache of the texts of turns, bounded in bytes, with an LRU index of the locations
 * of all turns, bounded in number. Evicted texts can be read from the log again. A chain
 * with an unknown turn is never treated as a shorter chain. If a turn was run several
 * times, only its last run with a text counts, as its caller has given up the earlier
 * ones. Used by one thread.
 */
final class TurnCache {

	/**
	 * The maximum number of turns whose locations are indexed: those of a minute at a
	 * site of 380 relays, at about 200 bytes each.
	 */
	private static final int MAX_TURNS = 50_000;

	/**
	 * The maximum number of committed locations of one turn, and of uncommitted ones,
	 * since peers may have written its text as well. The limits are separate because
	 * uncommitted writes may never reach the log, and so must not evict committed
	 * locations.
	 */
	private static final int MAX_LOCATIONS = 4;

	private final long maxBytes;

	private final LinkedHashMap<String, TurnText> texts = new LinkedHashMap<>(64, 0.75f, true);

	private final Map<String, KnownLocations> locations = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, KnownLocations> eldest) {
			return size() > MAX_TURNS;
		}
	};

	private long bytes;

	TurnCache(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	void add(RunId run, StoredTurn text) {
		TurnText before = this.texts.get(run.request());
		KnownLocations known = this.locations.get(run.request());
		boolean superseded = known != null && known.run().follows(run);
		if (superseded || (before != null && !run.follows(before.run()))) {
			return;
		}
		remove(run.request());
		this.texts.put(run.request(), new TurnText(run, text));
		this.bytes += text.size();
		while (this.bytes > this.maxBytes && this.texts.size() > 1) {
			this.bytes -= this.texts.pollFirstEntry().getValue().text().size();
		}
	}

	private void remove(String request) {
		TurnText removed = this.texts.remove(request);
		this.bytes -= (removed != null) ? removed.text().size() : 0;
	}

	/**
	 * Records a location of the text of a turn. A turn has several locations if peers
	 * wrote it as well. If the location names no origin, the first relay that sent a
	 * location is the origin.
	 * @param run the run of the turn
	 * @param location the location of its text
	 * @param sender the relay that sent the location; empty if it was read from the log
	 */
	void recordLocation(RunId run, TextLocation location, Optional<String> sender) {
		String request = run.request();
		KnownLocations recorded = this.locations.getOrDefault(request, KnownLocations.none(run));
		if (recorded.run().follows(run)) {
			return;
		}
		KnownLocations before = run.follows(recorded.run()) ? KnownLocations.none(run) : recorded;
		TurnText text = this.texts.get(request);
		if (text != null && run.follows(text.run())) {
			remove(request);
		}
		RunId known = run.numbered() ? run : before.run();
		Optional<String> origin = before.origin().or(location::origin).or(() -> sender);
		if (location.renewed() && sender.isEmpty()) {
			// The earlier records expire, and a search for them reads from the start of
			// their partition.
			this.locations.put(request, new KnownLocations(known, List.of(location), List.of(), origin));
			return;
		}
		this.locations.put(request, sender.isPresent()
				? new KnownLocations(known, before.committed(), prepend(before.uncommitted(), location), origin)
				: new KnownLocations(known, prepend(before.committed(), location), before.uncommitted(), origin));
	}

	private static List<TextLocation> prepend(List<TextLocation> locations, TextLocation location) {
		List<TextLocation> updated = new ArrayList<>(locations);
		updated.remove(location);
		updated.addFirst(location);
		return updated.subList(0, Math.min(updated.size(), MAX_LOCATIONS));
	}

	Optional<StoredTurn> text(String request) {
		return turn(request).map(TurnText::text);
	}

	/**
	 * Returns the text of a turn with its run.
	 * @param request the turn
	 * @return the text, or empty if it is not in memory
	 */
	Optional<TurnText> turn(String request) {
		return Optional.ofNullable(this.texts.get(request));
	}

	/**
	 * Returns the run whose text the known locations have.
	 * @param request the turn
	 * @return the run, or empty if no location is known
	 */
	Optional<RunId> run(String request) {
		return Optional.ofNullable(this.locations.get(request)).map(KnownLocations::run);
	}

	/**
	 * Returns the last run of a turn whose text or location is known.
	 * @param request the turn
	 * @return the run, or empty if none is known
	 */
	Optional<RunId> lastRun(String request) {
		return Stream.of(run(request), turn(request).map(TurnText::run))
			.flatMap(Optional::stream)
			.max(Comparator.naturalOrder());
	}

	/**
	 * Returns all locations at which the log may have the text of a turn, including
	 * uncommitted ones.
	 * @param request the turn
	 * @return the locations, uncommitted ones first, the newest first of each kind
	 */
	List<TextLocation> locations(String request) {
		return Optional.ofNullable(this.locations.get(request)).map(KnownLocations::all).orElse(List.of());
	}

	/**
	 * Returns the relay that ran a turn, and so had the texts of its whole chain.
	 * @param request the turn
	 * @return the relay, or empty if unknown
	 */
	Optional<String> origin(String request) {
		return Optional.ofNullable(this.locations.get(request)).flatMap(KnownLocations::origin);
	}

	/**
	 * Returns the chain that ends with a turn.
	 * @param previous the last turn of the chain
	 * @return the inputs and outputs of the whole chain, or what is missing
	 */
	Chain chain(String previous) {
		Deque<StoredTurn> found = new ArrayDeque<>();
		List<String> missing = new ArrayList<>();
		Set<String> seen = new HashSet<>();
		Optional<String> next = Optional.of(previous);
		while (next.isPresent()) {
			// Callers choose the ids of turns. A reused id can form a cycle.
			if (!seen.add(next.get())) {
				return new Chain.Unknown();
			}
			StoredTurn text = text(next.get()).orElse(null);
			KnownLocations known = this.locations.get(next.get());
			if (text == null && known == null) {
				return new Chain.Unknown();
			}
			if (text == null) {
				missing.add(next.get());
				next = known.all().getFirst().previous();
				continue;
			}
			found.addFirst(text);
			next = text.previous();
		}
		return missing.isEmpty() ? new Chain.Complete(join(found)) : new Chain.Incomplete(missing);
	}

	private static byte[] join(Deque<StoredTurn> chain) {
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		for (StoredTurn turn : chain) {
			text.writeBytes(turn.input());
			text.writeBytes(turn.output());
		}
		return text.toByteArray();
	}

	int size() {
		return this.texts.size();
	}

	long bytes() {
		return this.bytes;
	}

	/**
	 * Immutable result of looking up a chain of turns.
	 */
	sealed interface Chain {

		/**
		 * All texts are in memory.
		 *
		 * @param text the concatenated texts, the oldest first; shared, must not be
		 * modified
		 */
		record Complete(byte[] text) implements Chain {

		}

		/**
		 * All turns are known, but some texts are not in memory.
		 *
		 * @param missing the turns whose texts are missing, the newest first
		 */
		record Incomplete(List<String> missing) implements Chain {

			/**
			 * Creates a chain.
			 * @param missing the turns whose texts are missing, the newest first
			 */
			public Incomplete {
				missing = List.copyOf(missing);
			}

		}

		/**
		 * Some turn is unknown.
		 */
		record Unknown() implements Chain {

		}

	}

	/**
	 * Immutable view of the known locations of a turn's text.
	 *
	 * @param run the run of the turn
	 * @param committed the locations read from the log, the newest first
	 * @param uncommitted the locations received from other relays, the newest first
	 * @param origin the relay that ran the turn
	 */
	private record KnownLocations(RunId run, List<TextLocation> committed, List<TextLocation> uncommitted,
			Optional<String> origin) {

		private KnownLocations {
			committed = List.copyOf(committed);
			uncommitted = List.copyOf(uncommitted);
		}

		static KnownLocations none(RunId run) {
			return new KnownLocations(run, List.of(), List.of(), Optional.empty());
		}

		List<TextLocation> all() {
			return Stream.concat(this.uncommitted.stream(), this.committed.stream()).distinct().toList();
		}

	}

}
