package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.lentilslip.core.measurement.Measurement.RelayTraffic.Kind;
import io.lentilslip.relay.net.TrafficCounter;

/**
 * Store decorator that counts the sizes of records sent to the store, whether or not the
 * call succeeds, and of records read from it. Used by the event loop's thread.
 */
public final class MeteredStore implements Store {

	private final Store store;

	private final TrafficCounter traffic;

	/**
	 * Creates a store.
	 * @param store the store to delegate to
	 * @param traffic counts the records and their sizes
	 */
	public MeteredStore(Store store, TrafficCounter traffic) {
		this.store = store;
		this.traffic = traffic;
	}

	@Override
	public void append(Topic topic, List<byte[]> records, Consumer<AppendResult> callback) {
		records.forEach((value) -> this.traffic.add(Kind.STORE_APPENDED, value.length));
		this.store.append(topic, records, callback);
	}

	@Override
	public void appendTexts(int partition, List<byte[]> records, Consumer<AppendResult> callback) {
		records.forEach((value) -> this.traffic.add(Kind.STORE_APPENDED, value.length));
		this.store.appendTexts(partition, records, callback);
	}

	@Override
	public void readTexts(int partition, long from, int maxBytes, Consumer<ReadResult> callback) {
		this.store.readTexts(partition, from, maxBytes, counting(callback));
	}

	@Override
	public void put(Topic topic, String key, Optional<byte[]> value, Consumer<AppendResult> callback) {
		this.traffic.add(Kind.STORE_APPENDED, size(value));
		this.store.put(topic, key, value, callback);
	}

	@Override
	public void read(Topic topic, long from, Duration maxWait, Consumer<ReadResult> callback) {
		this.store.read(topic, from, maxWait, counting(callback));
	}

	private Consumer<ReadResult> counting(Consumer<ReadResult> callback) {
		return (result) -> {
			if (result instanceof ReadResult.Records records) {
				count(records.records());
			}
			callback.accept(result);
		};
	}

	@Override
	public void readLatest(Topic topic, Consumer<LatestResult> callback) {
		this.store.readLatest(topic, (result) -> {
			if (result instanceof LatestResult.Records records) {
				count(records.records());
			}
			callback.accept(result);
		});
	}

	private void count(List<StoredRecord> records) {
		records.forEach((item) -> this.traffic.add(Kind.STORE_READ, size(item.value())));
	}

	private static int size(Optional<byte[]> value) {
		return value.map((bytes) -> bytes.length).orElse(0);
	}

}
