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
	void repeatsOnlyWhatIsListed(String method, String path, boolean repeatable) {
		assertThat(policy("GET /prices").isRepeatable(method, path)).isEqualTo(repeatable);
	}

	// A caller asks for /prices/../check-in. Read by its prefix it is a price, but the
	// service resolves the dots and checks a walker in. A retry would bill it twice.
	@ParameterizedTest
	@CsvSource({ "/prices/../check-in", "/prices/%2e%2e/check-in", "/prices//../check-in", "/prices/..;/check-in",
			"/prices/.." })
	void doesNotRepeatPathsThatCanBeReadInTwoWays(String path) {
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
