package io.lentilslip.core.configuration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointTests {

	@ParameterizedTest
	@ValueSource(strings = { "127.0.0.1:0", "10.255.0.1:65535", "[::1]:80", "[::]:80", "[fe80::1:2]:9",
			"[1:2:3:4:5:6:7::]:1", "[1:2:3:4:5:6:7:8]:1" })
	void parsesNumericAddresses(String text) {
		assertThat(Endpoint.parse(text)).map(Endpoint::toString).contains(text);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "localhost:80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:65536", "10.0.0.1:99999",
			"10.0.0:80", "10.0.0.256:80", "10.0.0.01:80", "[10.0.0.1]:80", "::1:80", "[1::2::3]:80",
			"[1:2:3:4:5:6:7:8:9]:80", "[1:2:3:4:5:6:7:8::]:80", "[12345::]:80", "[:::]:80", "http://10.0.0.1:80",
			"10.0.0.1:-1" })
	void rejectsOtherTexts(String text) {
		assertThat(Endpoint.parse(text)).isEmpty();
	}

}
