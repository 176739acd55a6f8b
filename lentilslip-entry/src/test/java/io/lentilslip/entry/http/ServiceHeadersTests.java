package io.lentilslip.entry.http;

import java.util.List;

import io.lentilslip.core.call.Header;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceHeadersTests {

	@Test
	void serviceGetsNeitherKeyNorHeadersOfTheConnection() {
		List<Header> headers = List.of(new Header("AUTHORIZATION", "Bearer x"),
				new Header("Connection", "X-Hop, Close"), new Header("x-hop", "1"), new Header("TE", "trailers"),
				new Header("Host", "a"), new Header("lentilslip-program", "p"), new Header("Idempotency-Key", "k"),
				new Header("Accept", "*/*"));
		assertThat(ServiceHeaders.toService(headers)).containsExactly(new Header("Idempotency-Key", "k"),
				new Header("Accept", "*/*"));
	}

	@Test
	void headersThatWouldBreakTheAnswerAreDropped() {
		List<Header> headers = List.of(new Header("X", "a\r\nY: b"), new Header("X Y", "a"), new Header("Z", "a\tb"));
		assertThat(ServiceHeaders.toCaller(headers)).containsExactly(new Header("Z", "a\tb"));
	}

}
