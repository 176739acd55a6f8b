package io.lentilslip.relay.store;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.lentilslip.core.relay.RunId;
import io.lentilslip.core.relay.StoredTurn;
import io.lentilslip.core.relay.TextLocation;
import io.lentilslip.wire.relay.RelayCodec;
import io.lentilslip.wire.relay.TextPart;

/**
 * Reads the text of single turns from the store, starting at the locations published by
 * the relays that wrote them. Used by the event loop's thread.
 */
public final class TextReader {

	/**
	 * The number of bytes that the first call reads in addition to the size of the text,
	 * for records that precede it. Doubled on each further call. There are few such
	 * records, except for texts that were queued during an outage of the store.
	 */
	private static final int INITIAL_EXTRA_BYTES = 16 * 1024;

	/**
	 * The maximum number of calls per location. The last ones search four megabytes,
	 * several times the queued texts that two relays append after an outage.
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
	 * Reads the text of a turn.
	 * @param run the run of the turn
	 * @param locations the locations to search
	 * @param callback receives the text, or empty if it was not found
	 */
	public void read(RunId run, List<TextLocation> locations, Consumer<Optional<StoredTurn>> callback) {
		new Search(run, new ArrayDeque<>(locations), callback).searchNextLocation();
	}

	/**
	 * A search for one text. Used by the event loop's thread.
	 */
	private final class Search {

		private final RunId run;

		private final Deque<TextLocation> locations;

		private final Consumer<Optional<StoredTurn>> callback;

		/**
		 * The parts by their number, for each number of parts. Writers with other limits
		 * divide the same text in another way.
		 */
		private final Map<Integer, Map<Integer, TextPart>> parts = new HashMap<>();

		private int calls;

		Search(RunId run, Deque<TextLocation> locations, Consumer<Optional<StoredTurn>> callback) {
			this.run = run;
			this.locations = locations;
			this.callback = callback;
		}

		void searchNextLocation() {
			if (this.locations.isEmpty()) {
				this.callback.accept(Optional.empty());
				return;
			}
			this.calls = 0;
			TextLocation location = this.locations.pollFirst();
			readFrom(location, location.minOffset());
		}

		private void readFrom(TextLocation location, long from) {
			if (this.calls == MAX_CALLS_PER_LOCATION) {
				searchNextLocation();
				return;
			}
			int extraBytes = INITIAL_EXTRA_BYTES << this.calls;
			this.calls++;
			TextReader.this.store.readTexts(location.partition(), from, location.bytes() + extraBytes,
					(result) -> handleResult(location, result));
		}

		private void handleResult(TextLocation location, Store.ReadResult result) {
			switch (result) {
				case Store.ReadResult.Failed ignored -> searchNextLocation();
				case Store.ReadResult.Deleted deleted -> readFrom(location, deleted.firstOffset());
				case Store.ReadResult.Records records -> {
					Optional<StoredTurn> found = find(records.records());
					if (found.isPresent()) {
						this.callback.accept(found);
						return;
					}
					if (records.nextOffset() < records.endOffset()) {
						readFrom(location, records.nextOffset());
						return;
					}
					searchNextLocation();
				}
			}
		}

		private Optional<StoredTurn> find(List<Store.StoredRecord> records) {
			for (Store.StoredRecord stored : records) {
				Optional<TextPart> part = stored.value()
					.flatMap((value) -> RelayCodec.decodeTextPart(value).toJavaOptional())
					.filter((decoded) -> decoded.turn().run().matches(this.run));
				if (part.isEmpty()) {
					continue;
				}
				Map<Integer, TextPart> found = this.parts.computeIfAbsent(part.get().count(),
						(count) -> new HashMap<>());
				found.put(part.get().index(), part.get());
				if (found.size() == part.get().count()) {
					return Optional.of(join(found));
				}
			}
			return Optional.empty();
		}

		private static StoredTurn join(Map<Integer, TextPart> parts) {
			ByteArrayOutputStream input = new ByteArrayOutputStream();
			ByteArrayOutputStream output = new ByteArrayOutputStream();
			for (int i = 0; i < parts.size(); i++) {
				StoredTurn part = parts.get(i).turn().text();
				input.writeBytes(part.input());
				output.writeBytes(part.output());
			}
			return new StoredTurn(parts.get(0).turn().text().previous(), input.toByteArray(), output.toByteArray());
		}

	}

}
