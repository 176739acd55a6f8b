package io.lentilslip.settings.folder;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.lentilslip.core.configuration.CallerPolicy;
import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.core.configuration.GroupPolicy;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.configuration.ModelPolicy;
import io.lentilslip.core.configuration.ProgramRule;
import io.lentilslip.core.configuration.ServicePolicy;
import io.lentilslip.core.configuration.UpstreamKind;
import io.lentilslip.core.configuration.UpstreamPolicy;
import io.lentilslip.settings.ini.IniDocument;
import io.lentilslip.settings.ini.IniEntry;
import io.lentilslip.settings.ini.Problems;
import io.lentilslip.settings.ini.SectionName;
import io.lentilslip.settings.ini.ValueText;

/**
 * A configuration as sections of keys and values, defaults included. Its text, read
 * again, gives the same configuration. Immutable and safe for use by several threads.
 */
public final class ConfigurationDescription {

	private final Map<SectionName, Map<String, String>> sections = new LinkedHashMap<>();

	private ConfigurationDescription(Configuration configuration) {
		site(configuration);
		configuration.groups().forEach(this::group);
		configuration.callers().forEach(this::caller);
		configuration.rules().forEach(this::rule);
		configuration.models().forEach(this::model);
		configuration.services().forEach(this::service);
		configuration.upstreams().forEach(this::upstream);
		limits(configuration.limits());
	}

	/**
	 * Returns the description of a configuration.
	 * @param configuration the configuration
	 * @return the description
	 */
	public static ConfigurationDescription of(Configuration configuration) {
		return new ConfigurationDescription(configuration);
	}

	/**
	 * Returns the sections with their keys and values.
	 * @return the sections in a fixed order
	 */
	Map<SectionName, Map<String, String>> sections() {
		return Collections.unmodifiableMap(this.sections);
	}

	/**
	 * Returns this description as an INI file.
	 * @return the text of the file
	 */
	public String text() {
		return text((section, key) -> Optional.empty());
	}

	/**
	 * Returns this description as an INI file in which a comment before each key names
	 * the file and line it came from.
	 * @param source the files from which the configuration was read
	 * @return the text of the file
	 */
	public String textWithOrigins(ConfigurationSource source) {
		IniDocument document = ConfigurationReader.merge(source, new Problems());
		return text((section,
				key) -> Optional.of(document.section(section)
					.flatMap((found) -> found.entry(key))
					.map(IniEntry::origin)
					.orElse("default")));
	}

	private String text(Origins origins) {
		List<String> lines = new ArrayList<>();
		this.sections.forEach((section, values) -> {
			lines.add("[" + section + "]");
			values.forEach((key, value) -> {
				origins.of(section, key).ifPresent((origin) -> lines.add("# " + origin));
				lines.add(key + " = " + value);
			});
			lines.add("");
		});
		return String.join("\n", lines);
	}

	private Map<String, String> section(String kind, Object name) {
		return this.sections.computeIfAbsent(new SectionName(kind, name.toString()), (any) -> new LinkedHashMap<>());
	}

	private void site(Configuration configuration) {
		Map<String, String> values = section(Keys.SITE, "");
		values.put(Keys.NAME, configuration.site().value());
		putList(values, Keys.ZONES, configuration.zones().stream().sorted());
	}

	private void group(GroupPolicy group) {
		Map<String, String> values = section(Keys.GROUP, group.name());
		put(values, Keys.SHARE, group.share());
		group.budget().ifPresent((budget) -> {
			put(values, Keys.BUDGET_TOKENS, budget.tokens());
			values.put(Keys.BUDGET_PERIOD, ValueText.of(budget.period()));
		});
		group.queueBound().ifPresent((bound) -> put(values, Keys.QUEUE_BOUND, bound));
	}

	private void caller(CallerPolicy caller) {
		Map<String, String> values = section(Keys.CALLER, caller.name());
		put(values, Keys.GROUP, caller.group());
		put(values, Keys.KEY_SHA256, caller.keyDigest());
	}

	private void rule(ProgramRule rule) {
		Map<String, String> values = section(Keys.PROGRAM_RULE, rule.name());
		put(values, Keys.GROUP, rule.group());
		put(values, Keys.PREFIX, rule.prefix());
		put(values, Keys.CLASS, rule.serviceClass().label());
		putList(values, Keys.CALLERS, rule.sortedCallers().stream());
	}

	private void model(ModelPolicy model) {
		Map<String, String> values = section(Keys.MODEL, model.name());
		put(values, Keys.CONTEXT_TOKENS, model.contextTokens());
		put(values, Keys.MAXIMUM_OUTPUT_TOKENS, model.maximumOutputTokens());
		put(values, Keys.COST_PREFILLED, model.cost().prefilled());
		put(values, Keys.COST_CACHED, model.cost().cached());
		put(values, Keys.COST_GENERATED, model.cost().generated());
	}

	private void service(ServicePolicy service) {
		Map<String, String> values = section(Keys.SERVICE, service.name());
		putList(values, Keys.REPEATABLE, service.repeatable().stream());
		values.put(Keys.TIMEOUT, ValueText.of(service.timeout()));
	}

	private void upstream(UpstreamPolicy upstream) {
		Map<String, String> values = section(Keys.UPSTREAM, upstream.vm());
		put(values, Keys.ZONE, upstream.zone());
		put(values, Keys.SIDECAR, upstream.sidecar());
		put(values, Keys.ADDRESS, upstream.address());
		put(values, Keys.MAXIMUM_CALLS, upstream.maximumCalls());
		switch (upstream.kind()) {
			case UpstreamKind.ForEngine engine -> {
				values.put(Keys.KIND, Keys.KIND_ENGINE);
				putList(values, Keys.MODELS, engine.sortedModels().stream());
				put(values, Keys.CHECKS_FENCING_NUMBERS, engine.checksFencingNumbers());
				put(values, Keys.KV_TOKENS, engine.kvTokens());
			}
			case UpstreamKind.ForService services -> {
				values.put(Keys.KIND, Keys.KIND_SERVICE);
				putList(values, Keys.SERVICES, services.sortedServices().stream());
			}
		}
	}

	private void limits(Limits limits) {
		Map<String, String> values = section(Keys.LIMITS, "");
		values.put(Keys.BODY_BYTES, ValueText.ofBytes(limits.requests().bodyBytes()));
		values.put(Keys.HEADER_BYTES, ValueText.ofBytes(limits.requests().headerBytes()));
		put(values, Keys.OPEN_STREAMS, limits.requests().openStreams());
		values.put(Keys.STREAM_IDLE_TIME, ValueText.of(limits.requests().streamIdleTime()));
		put(values, Keys.PROGRAM_MESSAGES, limits.programs().messages());
		put(values, Keys.PROGRAM_TURNS, limits.programs().turns());
		put(values, Keys.PROGRAM_HISTORY_TOKENS, limits.programs().historyTokens());
		values.put(Keys.PROGRAM_IDLE_TIME, ValueText.of(limits.programs().idleTime()));
		values.put(Keys.PROGRAM_LIFETIME, ValueText.of(limits.programs().lifetime()));
		put(values, Keys.PROGRAM_CHILDREN, limits.programs().childrenPerProgram());
		put(values, Keys.GROUP_PROGRAMS, limits.programs().openPerGroup());
		values.put(Keys.DEADLINE_STANDARD, ValueText.of(limits.deadlines().standard()));
		values.put(Keys.DEADLINE_MAXIMUM, ValueText.of(limits.deadlines().maximum()));
		put(values, Keys.QUEUE_CALLS_PER_GROUP, limits.queues().callsPerGroup());
		put(values, Keys.QUEUE_CALLS, limits.queues().callsInAll());
		put(values, Keys.RETRY_PERCENT, limits.faults().retryPercent());
		put(values, Keys.CRASHES_BEFORE_STOP, limits.faults().crashesBeforeStop());
		values.put(Keys.DRAIN_TIME, ValueText.of(limits.drainTime()));
	}

	private static void put(Map<String, String> values, String key, Object value) {
		values.put(key, value.toString());
	}

	private static void putList(Map<String, String> values, String key, Stream<?> items) {
		String text = items.map(Object::toString).collect(Collectors.joining(", "));
		if (!text.isEmpty()) {
			values.put(key, text);
		}
	}

	/**
	 * Tells where a key came from.
	 */
	private interface Origins {

		Optional<String> of(SectionName section, String key);

	}

}
