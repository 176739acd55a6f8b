package io.lentilslip.core.configuration;

import java.util.List;

import io.lentilslip.core.identity.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ServicePolicyTests {

	@ParameterizedTest
	@CsvSource({ "GET,/prices,true", "GET,/prices/3,true", "GET,/prices?boat=3,true", "GET,/prices-change,false",
			"HEAD,/prices,false", "POST,/prices,false", "get,/prices,false", "GET,/,false" })
	void repeatsOnlyListedCalls(String method, String path, boolean repeatable) {
		assertThat(policy("GET /prices").isRepeatable(method, path)).isEqualTo(repeatable);
	}

	// A path that the service may resolve outside the listed prefix must not be
	// repeated.
	@ParameterizedTest
	@CsvSource({ "/prices/../check-in", "/prices/%2e%2e/check-in", "/prices//../check-in", "/prices/..;/check-in",
			"/prices/.." })
	void doesNotRepeatAmbiguousPaths(String path) {
		assertThat(policy("GET /prices").isRepeatable("GET", path)).isFalse();
		assertThat(policy("GET /").isRepeatable("GET", path)).isFalse();
	}

	@Test
	void repeatsNothingByDefault() {
		ServicePolicy policy = new ServicePolicy(new ServiceName("pings"), List.of(), ServicePolicy.DEFAULT_TIMEOUT);
		assertThat(policy.isRepeatable("GET", "/")).isFalse();
	}

	private static ServicePolicy policy(String call) {
		return new ServicePolicy(new ServiceName("tools"), List.of(RepeatableCall.parse(call).orElseThrow()),
				ServicePolicy.DEFAULT_TIMEOUT);
	}

}
