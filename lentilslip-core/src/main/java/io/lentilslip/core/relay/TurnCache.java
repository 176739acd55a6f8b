package io.lentilslip.core.relay;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The turns that later turns may continue from: of all of them where their texts are, and
 * the texts that this relay ran or asked for last. Texts are bounded in bytes, places in
 * number, those untouched for longest go first; a text that is gone from memory is read
 * from the log again. A turn whose chain is not whole is never taken for a shorter one.
 * Used by one thread.
 */
final class TurnCache {

	/**
	 * How many places are remembered: a minute of what 380 relays would tell, at some 200
	 * bytes each.
	 */
	private static final int PLACES = 50_000;

	/**
	 * How many places of one text are remembered of those that the log shows, and of
	 * those that were only told: its own relay's, and some of relays that helped. A place
	 * that was only told may never be written to, so it never pushes out one that the log
	 * shows.
	 */
	private static final int COPIES = 4;

	private final long bound;

	private final LinkedHashMap<String, StoredTurn> texts = new LinkedHashMap<>(64, 0.75f, true);

	private final Map<String, Known> locations = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Known> eldest) {
			return size() > PLACES;
		}
	};

	private long bytes;

	TurnCache(long bound) {
		this.bound = bound;
	}

	void add(String request, StoredTurn text) {
		if (this.texts.putIfAbsent(request, text) != null) {
			return;
		}
		this.bytes += text.size();
		while (this.bytes > this.bound && this.texts.size() > 1) {
			this.bytes -= this.texts.pollFirstEntry().getValue().size();
		}
	}

	/**
	 * Notes where the text of a turn is. The turn may have several places, since relays
	 * that helped wrote it too. Where the place does not say who ran the turn, whoever
	 * told of it first did: others tell only what they heard or adopted.
	 * @param request the turn
	 * @param place its place in the log
	 * @param teller the relay that told the place; empty if the log shows it
	 */
	void recordLocation(String request, TextLocation place, Optional<String> teller) {
		Known before = this.locations.getOrDefault(request, Known.NOTHING);
		Optional<String> holder = before.holder().or(place::origin).or(() -> teller);
		this.locations.put(request, teller.isPresent() ? new Known(before.logged(), with(before.told(), place), holder)
				: new Known(with(before.logged(), place), before.told(), holder));
	}

	private static List<TextLocation> with(List<TextLocation> places, TextLocation place) {
		List<TextLocation> known = new ArrayList<>(places);
		known.remove(place);
		known.addFirst(place);
		return known.subList(0, Math.min(known.size(), COPIES));
	}

	Optional<StoredTurn> text(String request) {
		return Optional.ofNullable(this.texts.get(request));
	}

	/**
	 * Returns where the log may have the text of a turn. A place that was told may not be
	 * written to yet, so all that are known count.
	 * @param request the turn
	 * @return the places, those that were only told first, of each the newest first
	 */
	List<TextLocation> locations(String request) {
		return Optional.ofNullable(this.locations.get(request)).map(Known::places).orElse(List.of());
	}

	/**
	 * Returns which relay ran a turn, and so had the texts of its whole chain.
	 * @param request the turn
	 * @return the relay, or empty if it is not known
	 */
	Optional<String> origin(String request) {
		return Optional.ofNullable(this.locations.get(request)).flatMap(Known::holder);
	}

	/**
	 * Returns what an upstream is to read before the new input of a turn.
	 * @param previous the turn that is continued from
	 * @return inputs and outputs of the whole chain, or what is missing
	 */
	Chain chain(String previous) {
		Deque<StoredTurn> found = new ArrayDeque<>();
		List<String> elsewhere = new ArrayList<>();
		Set<String> seen = new HashSet<>();
		Optional<String> next = Optional.of(previous);
		while (next.isPresent()) {
			// Callers name their turns. One that used a name twice may have made a
			// turn lead back to itself, and a walk along it would never end.
			if (!seen.add(next.get())) {
				return new Chain.Unknown();
			}
			StoredTurn text = this.texts.get(next.get());
			Known known = this.locations.get(next.get());
			if (text == null && known == null) {
				return new Chain.Unknown();
			}
			if (text == null) {
				elsewhere.add(next.get());
				next = known.places().getFirst().previous();
				continue;
			}
			found.addFirst(text);
			next = text.previous();
		}
		return elsewhere.isEmpty() ? new Chain.Complete(join(found)) : new Chain.Incomplete(elsewhere);
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
	 * What is known of a chain of turns. Immutable.
	 */
	sealed interface Chain {

		/**
		 * All texts are at hand.
		 *
		 * @param text the texts, in order; shared, never written to
		 */
		record Complete(byte[] text) implements Chain {

		}

		/**
		 * All turns are known, and some texts are not at hand.
		 *
		 * @param turns the turns whose texts are missing, the newest first
		 */
		record Incomplete(List<String> missing) implements Chain {

			/**
			 * Creates a chain.
			 * @param turns the turns whose texts are missing, the newest first
			 */
			public Incomplete {
				missing = List.copyOf(missing);
			}

		}

		/**
		 * Some turn is not known.
		 */
		record Unknown() implements Chain {

		}

	}

	/**
	 * Where the text of a turn is. Immutable.
	 *
	 * @param logged its places that the log shows, the newest first
	 * @param told its places that other relays told, the newest first
	 * @param origin the relay that ran the turn
	 */
	private record Known(List<TextLocation> logged, List<TextLocation> told, Optional<String> holder) {

		private static final Known NOTHING = new Known(List.of(), List.of(), Optional.empty());

		private Known {
			logged = List.copyOf(logged);
			told = List.copyOf(told);
		}

		List<TextLocation> places() {
			return Stream.concat(this.told.stream(), this.logged.stream()).distinct().toList();
		}

	}

}
