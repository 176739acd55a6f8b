package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.lentilslip.core.measurement.Measurement.RelayTraffic.Kind;
import io.lentilslip.relay.net.TrafficCounter;

/**
 * Counts the values of records that go to a store, whatever becomes of them, and those
 * that come from it. Used by the event loop's thread.
 */
public final class MeteredStore implements Store {

	private final Store store;

	private final TrafficCounter traffic;

	/**
	 * Creates a store that counts.
	 * @param store the store itself
	 * @param traffic adds up what is counted
	 */
	public MeteredStore(Store store, TrafficCounter traffic) {
		this.store = store;
		this.traffic = traffic;
	}

	@Override
	public void append(Topic topic, List<byte[]> records, Consumer<AppendResult> then) {
		records.forEach((value) -> this.traffic.add(Kind.STORE_APPENDED, value.length));
		this.store.append(topic, records, then);
	}

	@Override
	public void appendTexts(int part, List<byte[]> records, Consumer<AppendResult> then) {
		records.forEach((value) -> this.traffic.add(Kind.STORE_APPENDED, value.length));
		this.store.appendTexts(part, records, then);
	}

	@Override
	public void readTexts(int part, long from, int bytes, Consumer<ReadResult> then) {
		this.store.readTexts(part, from, bytes, counting(then));
	}

	@Override
	public void put(Topic topic, String key, Optional<byte[]> value, Consumer<AppendResult> then) {
		this.traffic.add(Kind.STORE_APPENDED, size(value));
		this.store.put(topic, key, value, then);
	}

	@Override
	public void read(Topic topic, long from, Duration wait, Consumer<ReadResult> then) {
		this.store.read(topic, from, wait, counting(then));
	}

	private Consumer<ReadResult> counting(Consumer<ReadResult> then) {
		return (outcome) -> {
			if (outcome instanceof ReadResult.Records read) {
				count(read.records());
			}
			then.accept(outcome);
		};
	}

	@Override
	public void readLatest(Topic topic, Consumer<LatestResult> then) {
		this.store.readLatest(topic, (outcome) -> {
			if (outcome instanceof LatestResult.Records read) {
				count(read.records());
			}
			then.accept(outcome);
		});
	}

	private void count(List<StoredRecord> records) {
		records.forEach((item) -> this.traffic.add(Kind.STORE_READ, size(item.value())));
	}

	private static int size(Optional<byte[]> value) {
		return value.map((bytes) -> bytes.length).orElse(0);
	}

}
