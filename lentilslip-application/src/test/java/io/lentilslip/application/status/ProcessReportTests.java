package io.lentilslip.application.status;

import java.util.Map;

import io.lentilslip.client.http.HttpLimits;
import io.lentilslip.client.http.HttpSender;
import io.lentilslip.core.configuration.Endpoint;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ProcessReportTests {

	@Test
	void useOfAGroupIsSummedOverItsOutcomes() {
		String exposition = """
				# TYPE lentilslip_calls_total counter
				lentilslip_calls_total{group="buyers",outcome="answered"} 3.0
				lentilslip_calls_total{group="buyers",outcome="not_run"} 2.0
				lentilslip_prompt_tokens_total{group="buyers"} 1.2E3
				lentilslip_cached_prompt_tokens_total{group="buyers"} 700.0
				lentilslip_generated_tokens_total{group="sellers"} 40.0
				lentilslip_budget_used_tokens{group="idle"} 5.0
				lentilslip_links_up{peer="sidecar"} 2.0
				""";
		assertThat(ProcessReport.groups(exposition))
			.isEqualTo(Map.of("buyers", new GroupUse(5, 1200, 700, 0), "sellers", new GroupUse(0, 0, 0, 40)));
	}

	@Test
	void processThatIsGoneHasAReason() {
		try (HttpSender sender = new HttpSender(HttpLimits.defaults())) {
			ProcessReport report = ProcessReport.ask(sender, new Endpoint("127.0.0.1", 1));
			assertThat(report.hasAnswered()).isFalse();
			assertThat(report.status().getLeft()).isNotEmpty();
		}
	}

}
