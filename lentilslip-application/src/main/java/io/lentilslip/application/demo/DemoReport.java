package io.lentilslip.application.demo;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lentilslip.application.status.TextTable;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.GroupPolicy;
import io.lentilslip.core.configuration.ModelPolicy;
import org.HdrHistogram.Histogram;

/**
 * What the demonstration measured. Immutable and safe for use by several threads.
 *
 * @param groups a line for each group
 * @param toolRuns how often each call of a plain service ran, by its key
 * @param heldTokens the tokens of engine memory that were held at the end
 */
public record DemoReport(List<GroupLine> groups, Map<String, Integer> toolRuns, int heldTokens) {

	private static final Duration LONGEST_PROGRAM = Duration.ofHours(1);

	private static final int DIGITS = 3;

	private static final double MEDIAN = 50;

	private static final double SLOWEST_TWENTIETH = 95;

	/**
	 * Creates a report.
	 * @param groups a line for each group
	 * @param toolRuns how often each call of a plain service ran
	 * @param heldTokens the tokens of engine memory that were held at the end
	 */
	public DemoReport {
		groups = List.copyOf(groups);
		toolRuns = Map.copyOf(toolRuns);
	}

	/**
	 * Returns the report of programs that have ended.
	 * @param configuration the configuration in force
	 * @param results how the programs went
	 * @param toolRuns how often each call of a plain service ran
	 * @param heldTokens the tokens of engine memory that were held at the end
	 * @return the report
	 */
	static DemoReport of(Configuration configuration, List<ProgramResult> results, Map<String, Integer> toolRuns,
			int heldTokens) {
		long work = results.stream().mapToLong((result) -> work(configuration, result)).sum();
		List<GroupLine> lines = configuration.groups()
			.stream()
			.map((group) -> line(configuration, group, results, work))
			.toList();
		return new DemoReport(lines, toolRuns, heldTokens);
	}

	private static GroupLine line(Configuration configuration, GroupPolicy group, List<ProgramResult> results,
			long allWork) {
		Histogram latencies = new Histogram(LONGEST_PROGRAM.toNanos(), DIGITS);
		TokenUse use = TokenUse.NONE;
		int calls = 0;
		long work = 0;
		for (ProgramResult result : results) {
			if (result.plan().group().equals(group.name())) {
				latencies.recordValue(result.latency().toNanos());
				use = use.plus(result.use());
				calls += result.calls();
				work += work(configuration, result);
			}
		}
		return new GroupLine(group.name().value(), Math.toIntExact(latencies.getTotalCount()),
				Duration.ofNanos(latencies.getValueAtPercentile(MEDIAN)),
				Duration.ofNanos(latencies.getValueAtPercentile(SLOWEST_TWENTIETH)), calls, use,
				(double) group.share() / configuration.totalShare(), (double) work / Math.max(1, allWork));
	}

	private static long work(Configuration configuration, ProgramResult result) {
		ModelPolicy model = configuration.model(result.plan().model()).orElseThrow();
		return result.use().work(model.cost());
	}

	/**
	 * Returns the report as tables.
	 * @return lines of text
	 */
	public String text() {
		TextTable table = new TextTable("group", "programs", "p50 ms", "p95 ms", "calls", "prompt tokens", "cached",
				"generated", "share due", "share received");
		for (GroupLine line : this.groups) {
			table.add(line.group(), line.programs(), line.median().toMillis(), line.slowest().toMillis(), line.calls(),
					line.use().prompt(), line.use().cached(), line.use().generated(), percent(line.due()),
					percent(line.received()));
		}
		return table.text() + "\nThe engines were not full, so the shares received follow what was asked for."
				+ "\nCalls of plain services: " + this.toolRuns.size() + ", runs: " + runs()
				+ "\nEngine memory held at the end: " + this.heldTokens + " tokens\n";
	}

	private int runs() {
		return this.toolRuns.values().stream().mapToInt(Integer::intValue).sum();
	}

	private static String percent(double part) {
		return String.format(Locale.ROOT, "%.1f%%", part * 100);
	}

	/**
	 * Returns the report as JSON.
	 * @return the object
	 */
	public ObjectNode json() {
		ObjectNode root = JsonNodeFactory.instance.objectNode();
		ArrayNode lines = root.putArray("groups");
		for (GroupLine line : this.groups) {
			ObjectNode object = lines.addObject().put("group", line.group());
			object.put("programs", line.programs());
			object.put("program_latency_p50_ms", line.median().toMillis());
			object.put("program_latency_p95_ms", line.slowest().toMillis());
			object.put("calls", line.calls());
			object.put("prompt_tokens", line.use().prompt());
			object.put("cached_prompt_tokens", line.use().cached());
			object.put("generated_tokens", line.use().generated());
			object.put("share_due", line.due());
			object.put("share_received", line.received());
		}
		ObjectNode runs = root.putObject("tool_runs");
		this.toolRuns.forEach(runs::put);
		root.put("held_tokens", this.heldTokens);
		return root;
	}

	/**
	 * What one group's programs measured.
	 *
	 * @param group the name of the group
	 * @param programs its programs that ended
	 * @param median the median of their latencies
	 * @param slowest the latency that 95 of 100 stay within
	 * @param calls the calls of models, those of sub-agents included
	 * @param use the tokens that these took
	 * @param due the part of the engines' work that the group may expect under load
	 * @param received the part of the engines' work that was done for the group
	 */
	public record GroupLine(String group, int programs, Duration median, Duration slowest, int calls, TokenUse use,
			double due, double received) {

	}

}
