package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.RelayTraffic;
import io.lentilslip.core.measurement.Measurement.RelayTraffic.Kind;
import io.lentilslip.relay.net.TrafficCounter;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MeteredStoreTests {

	private final FakeStore store = new FakeStore();

	private final TrafficCounter traffic = new TrafficCounter();

	private final MeteredStore metered = new MeteredStore(this.store, this.traffic);

	private final List<Object> results = new ArrayList<>();

	// An append that is retried after a lost response is sent twice and must be counted
	// twice.
	@Test
	void appendIsCountedWhateverItsResult() {
		List<byte[]> records = List.of(new byte[10], new byte[5]);
		Store.AppendResult lost = new Store.AppendResult.Unknown("no response");
		this.metered.append(Topic.ENTRIES, records, this.results::add);
		this.store.appendCallbacks.poll().accept(lost);
		this.metered.append(Topic.ENTRIES, records, this.results::add);
		this.metered.put(Topic.RELAYS, "key", Optional.of(new byte[1]), this.results::add);
		this.metered.put(Topic.RELAYS, "key", Optional.empty(), this.results::add);
		assertThat(published()).contains(new RelayTraffic(Kind.STORE_APPENDED, 31, 6),
				new RelayTraffic(Kind.STORE_READ, 0, 0));
		assertThat(this.results).containsExactly(lost);
		assertThat(this.store.appends).containsExactly(records, records);
	}

	@Test
	void recordsReadAreCountedAndForwarded() {
		Store.ReadResult read = new Store.ReadResult.Records(List.of(stored(3), stored(4)), 2, 2);
		Store.ReadResult failed = new Store.ReadResult.Failed("status 503");
		Store.LatestResult newest = new Store.LatestResult.Records(List.of(stored(5)), 3);
		this.metered.read(Topic.ENTRIES, 0, Duration.ZERO, this.results::add);
		this.metered.read(Topic.ENTRIES, 2, Duration.ZERO, this.results::add);
		this.metered.readLatest(Topic.RELAYS, this.results::add);
		this.store.readCallbacks.poll().accept(read);
		this.store.readCallbacks.poll().accept(failed);
		this.store.latestCallbacks.poll().accept(newest);
		assertThat(published()).contains(new RelayTraffic(Kind.STORE_READ, 12, 3),
				new RelayTraffic(Kind.STORE_APPENDED, 0, 0));
		assertThat(this.results).containsExactly(read, failed, newest);
		assertThat(this.store.readOffsets).containsExactly(0L, 2L);
	}

	private static Store.StoredRecord stored(int bytes) {
		return new Store.StoredRecord(0, Optional.empty(), Optional.of(new byte[bytes]));
	}

	private List<Measurement> published() {
		List<Measurement> published = new ArrayList<>();
		this.traffic.publish(published::add);
		return published;
	}

}
