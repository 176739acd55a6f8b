package io.lentilslip.relay.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.lentilslip.core.relay.StoredTurn;
import io.lentilslip.core.relay.TextLocation;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.wire.relay.RelayCodec;

/**
 * Reads single texts of turns from the store, where their relays said that they are. Used
 * by the event loop's thread.
 */
public final class TextReader {

	/**
	 * How many bytes the first call reads besides the text, twice as many each further
	 * one: records that may stand before it. These are few, but for texts that waited for
	 * a store that was away.
	 */
	private static final int INITIAL_EXTRA_BYTES = 16 * 1024;

	/**
	 * How many calls look for one text at one place: behind four megabytes at last,
	 * several times what two relays keep waiting while callers wait for their ends.
	 */
	private static final int MAX_CALLS_PER_LOCATION = 8;

	private final Store store;

	/**
	 * Creates a reader.
	 * @param store the store
	 */
	public TextReader(Store store) {
		this.store = store;
	}

	/**
	 * Reads a text.
	 * @param request the turn
	 * @param places where it may stand
	 * @param then takes the text, or empty if it was not found
	 */
	public void read(String request, List<TextLocation> places, Consumer<Optional<StoredTurn>> then) {
		new Search(request, new ArrayDeque<>(places), then).searchNextLocation();
	}

	/**
	 * One search for a text. Used by the event loop's thread.
	 */
	private final class Search {

		private final String request;

		private final Deque<TextLocation> locations;

		private final Consumer<Optional<StoredTurn>> then;

		private int calls;

		Search(String request, Deque<TextLocation> places, Consumer<Optional<StoredTurn>> then) {
			this.request = request;
			this.locations = places;
			this.then = then;
		}

		void searchNextLocation() {
			if (this.locations.isEmpty()) {
				this.then.accept(Optional.empty());
				return;
			}
			this.calls = 0;
			TextLocation place = this.locations.pollFirst();
			readFrom(place, place.minOffset());
		}

		private void readFrom(TextLocation place, long from) {
			if (this.calls == MAX_CALLS_PER_LOCATION) {
				searchNextLocation();
				return;
			}
			int more = INITIAL_EXTRA_BYTES << this.calls;
			this.calls++;
			TextReader.this.store.readTexts(place.partition(), from, place.bytes() + more,
					(outcome) -> handleResult(place, outcome));
		}

		private void handleResult(TextLocation place, Store.ReadResult outcome) {
			switch (outcome) {
				case Store.ReadResult.Failed ignored -> searchNextLocation();
				case Store.ReadResult.Deleted deleted -> readFrom(place, deleted.firstOffset());
				case Store.ReadResult.Records records -> {
					Optional<StoredTurn> found = find(records.records());
					if (found.isPresent()) {
						this.then.accept(found);
						return;
					}
					if (records.nextOffset() < records.endOffset()) {
						readFrom(place, records.nextOffset());
						return;
					}
					searchNextLocation();
				}
			}
		}

		private Optional<StoredTurn> find(List<Store.StoredRecord> records) {
			return records.stream()
				.flatMap((stored) -> stored.value().stream())
				.flatMap((value) -> RelayCodec.decodeText(value).toJavaStream())
				.filter((turn) -> turn.request().equals(this.request))
				.map(TurnText::text)
				.findFirst();
		}

	}

}
