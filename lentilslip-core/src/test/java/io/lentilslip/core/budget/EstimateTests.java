package io.lentilslip.core.budget;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ModelName;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EstimateTests {

	@Test
	void countsTheHistoryOnce() {
		String message = "m".repeat(2000);
		assertThat(Estimate.of(call(HistoryMode.NEW, message), 500)).isBetween(1600L, 1620L);
		assertThat(Estimate.of(call(HistoryMode.WHOLE, message), 500)).isBetween(1100L, 1120L);
		assertThat(Estimate.of(call(HistoryMode.WHOLE, message), 5000)).isEqualTo(5100);
	}

	// The overdraft of a prompt with one token per byte must not exceed its estimate.
	@Property(tries = 200, seed = "1")
	void isAtLeastHalfOfTheTokensOfAnyTokenizer(@ForAll String message) {
		long maximum = message.getBytes(StandardCharsets.UTF_8).length + 100;
		assertThat(Estimate.of(call(HistoryMode.WHOLE, message), 0) * 2).isGreaterThanOrEqualTo(maximum);
	}

	private static CallRequest.ForModel call(HistoryMode mode, String message) {
		return new CallRequest.ForModel(new GroupName("sellers"), Optional.empty(), Optional.empty(), Digest.of("call"),
				new ModelName("m"), mode, List.of(message), 100, "{}", false);
	}

}
