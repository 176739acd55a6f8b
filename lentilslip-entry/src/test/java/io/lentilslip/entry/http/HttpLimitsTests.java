package io.lentilslip.entry.http;

import java.time.Duration;
import java.util.Optional;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.configuration.Limits.RequestLimits;
import io.lentilslip.core.configuration.PolicyName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HttpLimitsTests {

	@Test
	void aProcessWithoutConfigurationHasLimitsAllTheSame() {
		assertThat(HttpLimits.in(Optional.empty())).isEqualTo(HttpLimits.DEFAULT);
	}

	@Test
	void theConfigurationInForceSetsWhatOperatorsMaySet() {
		HttpLimits limits = HttpLimits
			.in(Optional.of(configured(new RequestLimits(2000, 300, 7, Duration.ofSeconds(9)))));
		assertThat(limits.bodyBytes()).isEqualTo(2000);
		assertThat(limits.headerBytes()).isEqualTo(300);
		assertThat(limits.openCalls()).isEqualTo(7);
		assertThat(limits.stallTime()).isEqualTo(Duration.ofSeconds(9));
		assertThat(limits.connections()).isEqualTo(HttpLimits.DEFAULT.connections());
	}

	@Test
	void oneBodyNeverMayTakeMoreThanAllMay() {
		HttpLimits limits = HttpLimits
			.in(Optional.of(configured(new RequestLimits(Long.MAX_VALUE, 300, 7, Duration.ofSeconds(9)))));
		assertThat((long) limits.bodyBytes()).isEqualTo(HttpLimits.DEFAULT.bodyBytesInAll());
	}

	private static Configuration configured(RequestLimits requests) {
		Limits standard = Limits.DEFAULT;
		Limits limits = new Limits(requests, standard.programs(), standard.deadlines(), standard.queues(),
				standard.faults(), standard.drainTime());
		return Configuration.ofSite(new PolicyName("site")).with(limits).build();
	}

}
