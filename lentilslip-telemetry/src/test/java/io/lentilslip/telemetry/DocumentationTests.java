package io.lentilslip.telemetry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.measurement.CollectionName;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.NoticeCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Holds the operators' pages together with the catalogue and the metrics.
 */
class DocumentationTests {

	private static final Path DOCUMENTATION = Path.of("..", "docs");

	private static final GroupName GROUP = new GroupName("sellers");

	private static final Pattern TYPE = Pattern.compile("# TYPE (\\S+) (\\S+)");

	private static final Pattern SAMPLE = Pattern.compile("(\\w+)\\{(.*)} \\S+");

	private static final Pattern LABEL = Pattern.compile("(\\w+)=\"");

	private static final List<Measurement> ONE_OF_EACH = List.of(
			new Measurement.CallEnded(GROUP, "interactive", Measurement.CallEnded.Outcome.ANSWERED,
					Duration.ofMillis(5), Duration.ZERO, Optional.of(Duration.ofMillis(1)), 1, 0, 1),
			new Measurement.ProgramEnded(GROUP, Duration.ofSeconds(1), 1, Measurement.ProgramEnded.Reason.IDLE_LIMIT),
			new Measurement.CallRefused(Optional.empty(), Measurement.CallRefused.Reason.SHED),
			new Measurement.QueueLength(Measurement.QueueLength.Kind.ENTRY, 1), new Measurement.HeldMemory(1),
			new Measurement.BudgetUse(GROUP, 1, 2), new Measurement.CollectionSize(CollectionName.LINKS, 1, 2),
			new Measurement.LogAppend(Measurement.LogAppend.Outcome.APPENDED, Duration.ofMillis(1)),
			new Measurement.LinkState(Measurement.LinkState.Kind.ENTRY, 1, 2),
			new Measurement.Retries(Measurement.Retries.Operation.CALL, 1, 0),
			new Measurement.RouteRequestEnded("chat", Measurement.RouteRequestEnded.Outcome.ANSWERED,
					Duration.ofMillis(5), Optional.of(Duration.ofMillis(1))),
			new Measurement.RouteRequestRefused("chat", "overloaded"),
			new Measurement.ServiceAdmission("engine", 0.5, Duration.ofMillis(1)), new Measurement.TurnRenewed(1),
			new Measurement.StreamResumed(Measurement.StreamResumed.Source.LEDGER),
			new Measurement.ResponseUnmatched(Measurement.ResponseUnmatched.Kind.IDLE),
			new Measurement.CallerShed(Measurement.CallerShed.Cause.MEMORY),
			new Measurement.TimerRan(Duration.ofMillis(1)), new Measurement.RequestWritten(Duration.ofMillis(1)),
			new Measurement.EventsHandled("TimerFired", 1, Duration.ofMillis(1)), new Measurement.EntriesGivenUp(1),
			new Measurement.RelayTraffic(Measurement.RelayTraffic.Kind.LINKS_IN, 1, 1),
			new Measurement.LogCopies(Measurement.LogCopies.Kind.SETTLED, 1));

	@Test
	void eventsPageIsTheCatalogue() throws IOException {
		List<String> catalogue = Arrays.stream(NoticeCode.values()).map(DocumentationTests::rowOf).toList();
		assertThat(rows("EVENTS.md", "\\| \\d.*")).containsExactlyElementsOf(catalogue);
	}

	@Test
	void metricsPageNamesEachMetricWithItsTypeAndLabels() throws IOException {
		Set<String> page = rows("METRICS.md", "\\| `lentilslip_.*").stream()
			.map((row) -> row.split(" \\| "))
			.map((cells) -> cells[0] + " | " + cells[1] + " | " + cells[2])
			.collect(Collectors.toCollection(TreeSet::new));
		assertThat(page).isEqualTo(exposedMetrics());
	}

	@Test
	void oneOfEachMeasurementIsTried() {
		assertThat(ONE_OF_EACH.stream().map(Object::getClass))
			.containsExactlyInAnyOrder(Measurement.class.getPermittedSubclasses());
	}

	private static String rowOf(NoticeCode code) {
		String fields = code.fields()
			.stream()
			.map((field) -> "`" + field.label() + "`")
			.collect(Collectors.joining(", "));
		return "| " + code.number() + " | `" + code + "` | " + code.level() + " | " + code.meaning() + " | " + fields
				+ " | " + code.action() + " |";
	}

	private static List<String> rows(String page, String pattern) throws IOException {
		return Files.readAllLines(DOCUMENTATION.resolve(page))
			.stream()
			.filter((line) -> line.matches(pattern))
			.toList();
	}

	private static Set<String> exposedMetrics() {
		Metrics metrics = new Metrics();
		ONE_OF_EACH.forEach(metrics::apply);
		metrics.count(NoticeCode.PROCESS_READY);
		Map<String, String> types = new TreeMap<>();
		Map<String, Set<String>> labels = new TreeMap<>();
		for (String line : metrics.exposition().split("\n")) {
			Matcher type = TYPE.matcher(line);
			Matcher sample = SAMPLE.matcher(line);
			if (type.matches()) {
				types.put(type.group(1), type.group(2));
			}
			else if (sample.matches()) {
				String name = sample.group(1).replaceAll("_(bucket|count|sum)$", "");
				labels.computeIfAbsent(name, (key) -> new TreeSet<>()).addAll(labelsOf(sample.group(2)));
			}
		}
		labels.values().removeIf(Set::isEmpty);
		return types.entrySet()
			.stream()
			.map((entry) -> "| `" + entry.getKey() + "` | " + entry.getValue() + " | "
					+ String.join(", ", labels.getOrDefault(entry.getKey(), Set.of("none"))))
			.collect(Collectors.toCollection(TreeSet::new));
	}

	private static Set<String> labelsOf(String text) {
		return LABEL.matcher(text)
			.results()
			.map((match) -> match.group(1))
			.filter((label) -> !label.equals("le"))
			.collect(Collectors.toSet());
	}

}
