package io.lentilslip.entry.http;

import io.lentilslip.core.configuration.Endpoint;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HttpPortTests {

	// The process is closed, and only then the last call ends and the port is told to
	// finish. Its threads are gone: waiting for them, the stop would never end.
	@Test
	void finishesAtOnceWhenItIsClosedAlready() {
		HttpPort port = HttpPort.open(new Endpoint("127.0.0.1", 0), () -> HttpLimits.DEFAULT, 1,
				(application, opened) -> {
				});
		port.close();
		assertThat(port.finish()).isCompleted();
	}

}
