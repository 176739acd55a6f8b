package io.lentilslip.relay.net;

import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.RelayTraffic;
import io.lentilslip.core.measurement.Measurement.RelayTraffic.Kind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TrafficCounterTests {

	private final TrafficCounter traffic = new TrafficCounter();

	@Test
	void publishResetsCounts() {
		this.traffic.add(Kind.LINKS_OUT, 100);
		this.traffic.add(Kind.LINKS_OUT, 20);
		this.traffic.add(Kind.STORE_READ, 7);
		assertThat(published()).containsExactly(new RelayTraffic(Kind.LINKS_OUT, 120, 2),
				new RelayTraffic(Kind.LINKS_IN, 0, 0), new RelayTraffic(Kind.STORE_APPENDED, 0, 0),
				new RelayTraffic(Kind.STORE_READ, 7, 1));
		this.traffic.add(Kind.STORE_READ, 1);
		assertThat(published()).contains(new RelayTraffic(Kind.LINKS_OUT, 0, 0),
				new RelayTraffic(Kind.STORE_READ, 1, 1));
	}

	private List<Measurement> published() {
		List<Measurement> published = new ArrayList<>();
		this.traffic.publish(published::add);
		return published;
	}

}
