package io.lentilslip.application.status;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.lentilslip.core.configuration.Endpoint;
import io.vavr.control.Either;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StatusReportTests {

	// Two entries have read the log to different records. The one that is ahead knows of
	// more that the group took, and it is the whole group's figure, not that entry's.
	@Test
	void showsWhatAGroupTookOfItsBudgetByTheEntryThatHasReadFurthest() throws JsonProcessingException {
		StatusReport report = new StatusReport(List.of(entry(1, 300), entry(2, 450)), Optional.empty());
		assertThat(report.text()).contains("budget used").contains("450").doesNotContain("750");
		assertThat(report.json().path("groups").path(0).path("budget_used_tokens").asLong()).isEqualTo(450);
	}

	@Test
	void showsNoUseThatNoEntryTold() {
		ProcessReport silent = new ProcessReport(new Endpoint("127.0.0.1", 1), Either.left("refused"),
				Map.of("buyers", new GroupUse(1, 2, 0, 3)));
		StatusReport report = new StatusReport(List.of(silent), Optional.empty());
		assertThat(report.json().path("groups").path(0).has("budget_used_tokens")).isFalse();
	}

	private static ProcessReport entry(int port, long used) throws JsonProcessingException {
		String status = "{\"vm\":\"entry-%d\",\"groups\":[{\"group\":\"buyers\",\"used_tokens\":%d}]}".formatted(port,
				used);
		return new ProcessReport(new Endpoint("127.0.0.1", port), Either.right(new ObjectMapper().readTree(status)),
				Map.of("buyers", new GroupUse(1, 2, 0, 3)));
	}

}
