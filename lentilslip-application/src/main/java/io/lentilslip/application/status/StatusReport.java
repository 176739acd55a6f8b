package io.lentilslip.application.status;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lentilslip.core.configuration.Budget;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.GroupPolicy;
import io.lentilslip.core.configuration.TokenCost;
import io.lentilslip.runtime.configuration.PublishedVersion;

/**
 * What several processes say, side by side: versions in force, queues, and the groups'
 * use. Shares and budgets come from the configuration, which only the log has; without it
 * they are left out. Immutable and safe for use by several threads.
 *
 * @param processes what each process says, in the order they were asked
 * @param published the configuration in force by the log, if the log was asked and knows
 */
public record StatusReport(List<ProcessReport> processes, Optional<PublishedVersion> published) {

	private static final String UNKNOWN = "-";

	private static final String VERSION = "configuration_version";

	private static final String[] COUNTS = { "calls", "queued", "running", "limit", "homes", "pending_turns",
			"held_tokens" };

	/**
	 * Creates a report.
	 * @param processes what each process says
	 * @param published the configuration in force by the log
	 */
	public StatusReport {
		processes = List.copyOf(processes);
	}

	/**
	 * Returns whether every process answered.
	 * @return whether the report is whole
	 */
	public boolean isWhole() {
		return this.processes.stream().allMatch(ProcessReport::hasAnswered);
	}

	private Map<String, GroupUse> groups() {
		Map<String, GroupUse> groups = new TreeMap<>();
		this.published.ifPresent((version) -> version.configuration()
			.groups()
			.forEach((group) -> groups.put(group.name().toString(), GroupUse.NONE)));
		for (ProcessReport process : this.processes) {
			process.groups().forEach((group, use) -> groups.merge(group, use, GroupUse::plus));
		}
		return groups;
	}

	private Optional<GroupPolicy> policy(String group) {
		return this.published.map(PublishedVersion::configuration)
			.flatMap((configuration) -> configuration.groups()
				.stream()
				.filter((policy) -> policy.name().toString().equals(group))
				.findFirst());
	}

	/**
	 * Returns the report as tables.
	 * @return lines of text
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		this.published.ifPresent(
				(version) -> text.append("in force by the log: version ").append(version.version()).append("\n\n"));
		return text.append(processTable()).append('\n').append(groupTable()).toString();
	}

	private String processTable() {
		TextTable table = new TextTable("VM", "role", "address", "status", "version", "links", "calls", "queued",
				"running", "limit", "homes", "pending", "held tokens");
		for (ProcessReport process : this.processes) {
			process.status()
				.peek((status) -> addProcess(table, process, status))
				.peekLeft((reason) -> table.add(UNKNOWN, UNKNOWN, process.address(), "no answer: " + reason, UNKNOWN,
						UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN));
		}
		return table.text();
	}

	private static void addProcess(TextTable table, ProcessReport process, JsonNode status) {
		table.add(shown(status, "vm"), shown(status, "role"), process.address(), shown(status, "status"),
				shown(status, VERSION), links(status), shown(status, COUNTS[0]), shown(status, COUNTS[1]),
				shown(status, COUNTS[2]), shown(status, COUNTS[3]), shown(status, COUNTS[4]), shown(status, COUNTS[5]),
				shown(status, COUNTS[6]));
	}

	// An entry shows its sidecars, of which some may not be linked; a sidecar counts the
	// entries that are.
	private static String links(JsonNode status) {
		JsonNode upstreams = status.path("upstreams");
		if (!upstreams.isArray()) {
			return shown(status, "entries");
		}
		long linked = StreamSupport.stream(upstreams.spliterator(), false)
			.filter((upstream) -> upstream.path("linked").asBoolean())
			.count();
		return linked + "/" + upstreams.size();
	}

	private static String shown(JsonNode status, String field) {
		return status.path(field).asText(UNKNOWN);
	}

	private String groupTable() {
		TextTable table = new TextTable("group", "calls", "prompt tokens", "cached", "generated", "share due",
				"share used", "budget used", "budget");
		Map<String, GroupUse> groups = groups();
		long work = groups.values().stream().mapToLong((use) -> use.work(TokenCost.DEFAULT)).sum();
		Map<String, Long> taken = budgetUse();
		groups.forEach((group, use) -> table.add(group, use.calls(), use.promptTokens(), use.cachedTokens(),
				use.generatedTokens(), due(group).map(StatusReport::percent).orElse(UNKNOWN), used(use, work),
				Optional.ofNullable(taken.get(group)).map(Object::toString).orElse(UNKNOWN), budget(group)));
		return table.text();
	}

	// Each entry tells what the whole group has taken of its budget, as far as it has
	// read
	// the log: the highest of their figures is the latest.
	private Map<String, Long> budgetUse() {
		Map<String, Long> taken = new TreeMap<>();
		for (ProcessReport process : this.processes) {
			process.status()
				.peek((status) -> status.path("groups")
					.forEach((group) -> taken.merge(group.path("group").asText(), group.path("used_tokens").asLong(),
							Math::max)));
		}
		return taken;
	}

	private Optional<Double> due(String group) {
		return policy(group).map((policy) -> {
			Configuration configuration = this.published.orElseThrow().configuration();
			return (double) policy.share() / configuration.totalShare();
		});
	}

	private static String used(GroupUse use, long work) {
		return (work == 0) ? UNKNOWN : percent((double) use.work(TokenCost.DEFAULT) / work);
	}

	private String budget(String group) {
		Optional<Budget> budget = policy(group).flatMap(GroupPolicy::budget);
		return budget.map((limit) -> limit.tokens() + " / " + limit.period()).orElse(UNKNOWN);
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
		this.published.ifPresent((version) -> root.put(VERSION, version.version()));
		ArrayNode list = root.putArray("processes");
		for (ProcessReport process : this.processes) {
			ObjectNode object = list.addObject().put("address", process.address().toString());
			process.status()
				.peek((status) -> object.set("state", status))
				.peekLeft((reason) -> object.put("unreachable", reason));
		}
		ArrayNode groups = root.putArray("groups");
		Map<String, Long> taken = budgetUse();
		groups().forEach((group, use) -> {
			ObjectNode object = json(group, use);
			Optional.ofNullable(taken.get(group)).ifPresent((tokens) -> object.put("budget_used_tokens", tokens));
			groups.add(object);
		});
		return root;
	}

	private ObjectNode json(String group, GroupUse use) {
		ObjectNode object = JsonNodeFactory.instance.objectNode().put("group", group);
		object.put("calls", use.calls());
		object.put("prompt_tokens", use.promptTokens());
		object.put("cached_prompt_tokens", use.cachedTokens());
		object.put("generated_tokens", use.generatedTokens());
		policy(group).ifPresent((policy) -> object.put("share", policy.share()));
		policy(group).flatMap(GroupPolicy::budget)
			.ifPresent((budget) -> object.put("budget_tokens", budget.tokens())
				.put("budget_period_ms", budget.period().toMillis()));
		return object;
	}

}
