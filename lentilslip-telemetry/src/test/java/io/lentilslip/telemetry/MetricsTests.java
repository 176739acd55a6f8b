package io.lentilslip.telemetry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.measurement.CollectionName;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.NoticeCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MetricsTests {

	private final Metrics metrics = new Metrics(2);

	@Test
	void callIsCountedForItsGroupAndItsClass() {
		this.metrics.apply(call("sellers", "interactive"));
		assertThat(this.metrics.exposition().lines()).contains(
				"lentilslip_call_latency_seconds_bucket{group=\"sellers\",le=\"0.1\"} 0",
				"lentilslip_call_latency_seconds_bucket{group=\"sellers\",le=\"0.2\"} 1",
				"lentilslip_class_latency_seconds_count{class=\"interactive\"} 1",
				"lentilslip_call_queueing_seconds_sum{group=\"sellers\"} 0.02",
				"lentilslip_first_token_seconds_sum{group=\"sellers\"} 0.05",
				"lentilslip_calls_total{group=\"sellers\",outcome=\"answered\"} 1.0",
				"lentilslip_prompt_tokens_total{group=\"sellers\"} 100.0",
				"lentilslip_cached_prompt_tokens_total{group=\"sellers\"} 80.0",
				"lentilslip_generated_tokens_total{group=\"sellers\"} 10.0");
	}

	@Test
	void groupsBeyondTheBoundAreCountedUnderOther() {
		// A site has more groups than the metrics have room for. The first two keep their
		// own series, and all others add up in one, so that no call is left out and the
		// exposition does not grow with the number of groups.
		for (int index = 0; index < 1_000; index++) {
			this.metrics.apply(call("group-" + index, "class-" + index));
			this.metrics.apply(new Measurement.BudgetUse(new GroupName("group-" + index), index, 10));
		}
		assertThat(linesOf("lentilslip_call_latency_seconds_count")).containsExactlyInAnyOrder(
				"lentilslip_call_latency_seconds_count{group=\"group-0\"} 1",
				"lentilslip_call_latency_seconds_count{group=\"group-1\"} 1",
				"lentilslip_call_latency_seconds_count{group=\"other\"} 998");
		assertThat(linesOf("lentilslip_class_latency_seconds_count")).hasSize(17)
			.contains("lentilslip_class_latency_seconds_count{class=\"other\"} 984");
		assertThat(linesOf("lentilslip_budget_used_tokens")).containsExactlyInAnyOrder(
				"lentilslip_budget_used_tokens{group=\"group-0\"} 0.0",
				"lentilslip_budget_used_tokens{group=\"group-1\"} 1.0");
	}

	@Test
	void forgottenGroupLeavesNothingAndMakesRoom() {
		this.metrics.apply(call("sellers", "interactive"));
		this.metrics.apply(call("buyers", "interactive"));
		this.metrics.apply(new Measurement.BudgetUse(new GroupName("sellers"), 1, 10));
		this.metrics.apply(new Measurement.ProgramEnded(new GroupName("sellers"), Duration.ofSeconds(3), 4,
				Measurement.ProgramEnded.Reason.IDLE_LIMIT));
		this.metrics.apply(new Measurement.CallRefused(Optional.of(new GroupName("sellers")),
				Measurement.CallRefused.Reason.SHED));
		this.metrics.forget(new GroupName("sellers"));
		assertThat(this.metrics.exposition()).doesNotContain("sellers");
		this.metrics.apply(call("walkers", "interactive"));
		assertThat(linesOf("lentilslip_call_latency_seconds_count"))
			.contains("lentilslip_call_latency_seconds_count{group=\"walkers\"} 1");
	}

	@Test
	void processesInOneJavaProcessKeepTheirFiguresApart() {
		Metrics neighbour = new Metrics();
		this.metrics.apply(new Measurement.CollectionSize(CollectionName.LINKS, 3, 64));
		assertThat(this.metrics.exposition().lines()).contains("lentilslip_collection_size{collection=\"links\"} 3.0",
				"lentilslip_collection_bound{collection=\"links\"} 64.0");
		assertThat(neighbour.exposition()).doesNotContain("lentilslip_collection_size{");
	}

	@Test
	void noticeIsCountedAlsoWhereItIsNotWritten() {
		new Notices.Counted(this.metrics, Notices.NoOp.INSTANCE).write(NoticeCode.QUEUE_FULL.withoutFields());
		assertThat(this.metrics.exposition().lines())
			.contains("lentilslip_notices_total{level=\"WARN\",name=\"QUEUE_FULL\",number=\"5004\"} 1.0");
	}

	@Test
	void latenessOfATimerIsSpreadOverBuckets() {
		this.metrics.apply(new Measurement.TimerRan(Duration.ZERO));
		this.metrics.apply(new Measurement.TimerRan(Duration.ofMillis(150)));
		assertThat(this.metrics.exposition().lines()).contains(
				"lentilslip_relay_timer_lateness_seconds_bucket{le=\"0.1\"} 1",
				"lentilslip_relay_timer_lateness_seconds_bucket{le=\"0.2\"} 2",
				"lentilslip_relay_timer_lateness_seconds_sum 0.15");
	}

	@Test
	void entriesThatAreGivenUpAddUp() {
		this.metrics.apply(new Measurement.EntriesGivenUp(2));
		this.metrics.apply(new Measurement.EntriesGivenUp(3));
		assertThat(this.metrics.exposition().lines()).contains("lentilslip_relay_entries_given_up_total 5.0");
	}

	@Test
	void trafficOfARelayAddsUpByItsKind() {
		this.metrics.apply(new Measurement.RelayTraffic(Measurement.RelayTraffic.Kind.LINKS_OUT, 100, 2));
		this.metrics.apply(new Measurement.RelayTraffic(Measurement.RelayTraffic.Kind.LINKS_OUT, 50, 1));
		this.metrics.apply(new Measurement.RelayTraffic(Measurement.RelayTraffic.Kind.STORE_READ, 7, 1));
		assertThat(this.metrics.exposition().lines()).contains("lentilslip_relay_bytes_total{kind=\"links_out\"} 150.0",
				"lentilslip_relay_bytes_total{kind=\"store_read\"} 7.0",
				"lentilslip_relay_messages_total{kind=\"links_out\"} 3.0");
	}

	@Test
	void copiesInTheLogAddUpByTheirKind() {
		this.metrics.apply(new Measurement.LogCopies(Measurement.LogCopies.Kind.SETTLED, 2));
		this.metrics.apply(new Measurement.LogCopies(Measurement.LogCopies.Kind.SETTLED, 3));
		this.metrics.apply(new Measurement.LogCopies(Measurement.LogCopies.Kind.RESERVED, 1));
		assertThat(linesOf("lentilslip_relay_log_copies_total")).containsExactlyInAnyOrder(
				"lentilslip_relay_log_copies_total{kind=\"settled\"} 5.0",
				"lentilslip_relay_log_copies_total{kind=\"reserved\"} 1.0");
	}

	private List<String> linesOf(String name) {
		return this.metrics.exposition().lines().filter((line) -> line.startsWith(name + "{")).toList();
	}

	private static Measurement call(String group, String serviceClass) {
		return new Measurement.CallEnded(new GroupName(group), serviceClass, Measurement.CallEnded.Outcome.ANSWERED,
				Duration.ofMillis(150), Duration.ofMillis(20), Optional.of(Duration.ofMillis(50)), 100, 80, 10);
	}

}
