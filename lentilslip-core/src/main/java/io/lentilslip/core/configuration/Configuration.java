package io.lentilslip.core.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.ServiceName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;

/**
 * Immutable configuration of a site. All references are resolved: the groups of callers
 * and rules, the callers of rules, the zones, models and services of upstreams. Each
 * caller has a distinct key. Lookups take constant time, except that rules are searched
 * among those of one group or caller. Thread-safe.
 */
public final class Configuration {

	private static final Comparator<ProgramRule> LONGEST_PREFIX_FIRST = Comparator
		.comparingInt((ProgramRule rule) -> rule.prefix().length())
		.reversed()
		.thenComparing(ProgramRule::name);

	private static final Comparator<UpstreamPolicy> BY_VM = Comparator.comparing(UpstreamPolicy::vm);

	private final PolicyName site;

	private final Set<ZoneName> zones;

	private final Map<GroupName, GroupPolicy> groups;

	private final Map<PolicyName, CallerPolicy> callers;

	private final Map<PolicyName, ProgramRule> rules;

	private final Map<ModelName, ModelPolicy> models;

	private final Map<ServiceName, ServicePolicy> services;

	private final Map<VmName, UpstreamPolicy> upstreams;

	private final Limits limits;

	private final Map<Digest, CallerPolicy> callersByKey = new HashMap<>();

	private final Map<GroupName, List<ProgramRule>> rulesByGroup;

	private final Map<PolicyName, List<ProgramRule>> rulesByCaller;

	private final Map<ModelName, List<UpstreamPolicy>> upstreamsByModel;

	private final Map<ServiceName, List<UpstreamPolicy>> upstreamsByService;

	private final long totalShare;

	private Configuration(Builder builder) {
		this.site = builder.site;
		this.zones = Set.copyOf(builder.zones);
		this.groups = sorted(builder.groups, GroupPolicy::name);
		this.callers = sorted(builder.callers, CallerPolicy::name);
		this.rules = sorted(builder.rules, ProgramRule::name);
		this.models = sorted(builder.models, ModelPolicy::name);
		this.services = sorted(builder.services, ServicePolicy::name);
		this.upstreams = sorted(builder.upstreams, UpstreamPolicy::vm);
		this.limits = builder.limits;
		this.callers.values().forEach(this::index);
		this.rulesByGroup = index(this.rules.values(), LONGEST_PREFIX_FIRST, (rule) -> Set.of(rule.group()));
		this.rulesByCaller = index(this.rules.values(), LONGEST_PREFIX_FIRST, ProgramRule::callers);
		this.upstreamsByModel = index(this.upstreams.values(), BY_VM, Configuration::models);
		this.upstreamsByService = index(this.upstreams.values(), BY_VM, Configuration::services);
		this.totalShare = this.groups.values().stream().mapToLong(GroupPolicy::share).sum();
		requireKnownNames();
	}

	/**
	 * Returns a builder of an empty configuration with default limits.
	 * @param site the name of the site
	 * @return the builder
	 */
	public static Builder ofSite(PolicyName site) {
		return new Builder(site);
	}

	private static <K extends Comparable<K>, V> Map<K, V> sorted(List<V> values, Function<V, K> name) {
		Map<K, V> sorted = new TreeMap<>();
		for (V value : values) {
			require(sorted.put(name.apply(value), value) == null, "twice", name.apply(value));
		}
		return Collections.unmodifiableMap(sorted);
	}

	private static <K, V> Map<K, List<V>> index(Collection<V> values, Comparator<V> order, Function<V, Set<K>> keys) {
		Map<K, List<V>> index = new HashMap<>();
		for (V value : values.stream().sorted(order).toList()) {
			keys.apply(value).forEach((key) -> index.computeIfAbsent(key, (any) -> new ArrayList<>()).add(value));
		}
		index.replaceAll((key, list) -> List.copyOf(list));
		return index;
	}

	private void index(CallerPolicy caller) {
		CallerPolicy other = this.callersByKey.put(caller.keyDigest(), caller);
		require(other == null, "key used twice", caller.name());
	}

	private static Set<ModelName> models(UpstreamPolicy upstream) {
		return switch (upstream.kind()) {
			case UpstreamKind.ForEngine engine -> engine.models();
			case UpstreamKind.ForService service -> Set.of();
		};
	}

	private static Set<ServiceName> services(UpstreamPolicy upstream) {
		return switch (upstream.kind()) {
			case UpstreamKind.ForEngine engine -> Set.of();
			case UpstreamKind.ForService service -> service.services();
		};
	}

	private void requireKnownNames() {
		this.callers.values().forEach((caller) -> requireKnown(this.groups, caller.group()));
		this.rules.values().forEach((rule) -> requireKnown(this.groups, rule.group()));
		this.rulesByCaller.keySet().forEach((caller) -> requireKnown(this.callers, caller));
		this.upstreamsByModel.keySet().forEach((model) -> requireKnown(this.models, model));
		this.upstreamsByService.keySet().forEach((service) -> requireKnown(this.services, service));
		for (UpstreamPolicy upstream : this.upstreams.values()) {
			require(this.zones.contains(upstream.zone()), "unknown", upstream.zone());
		}
	}

	private static <K> void requireKnown(Map<K, ?> known, K name) {
		require(known.containsKey(name), "unknown", name);
	}

	private static void require(boolean condition, String problem, Object name) {
		if (!condition) {
			throw new IllegalArgumentException(problem + ": " + name);
		}
	}

	/**
	 * Returns the name of the site.
	 * @return the name of the site
	 */
	public PolicyName site() {
		return this.site;
	}

	/**
	 * Returns the availability zones of the site.
	 * @return the zones
	 */
	public Set<ZoneName> zones() {
		return this.zones;
	}

	/**
	 * Returns the groups in the order of their names.
	 * @return the groups
	 */
	public Collection<GroupPolicy> groups() {
		return this.groups.values();
	}

	/**
	 * Returns the callers in the order of their names.
	 * @return the callers
	 */
	public Collection<CallerPolicy> callers() {
		return this.callers.values();
	}

	/**
	 * Returns the program rules in the order of their names.
	 * @return the program rules
	 */
	public Collection<ProgramRule> rules() {
		return this.rules.values();
	}

	/**
	 * Returns the models in the order of their names.
	 * @return the models
	 */
	public Collection<ModelPolicy> models() {
		return this.models.values();
	}

	/**
	 * Returns the services in the order of their names.
	 * @return the services
	 */
	public Collection<ServicePolicy> services() {
		return this.services.values();
	}

	/**
	 * Returns the upstreams in the order of their VMs' names.
	 * @return the upstreams
	 */
	public Collection<UpstreamPolicy> upstreams() {
		return this.upstreams.values();
	}

	/**
	 * Returns the limits.
	 * @return the limits
	 */
	public Limits limits() {
		return this.limits;
	}

	/**
	 * Returns the sum of all groups' shares.
	 * @return the sum of the shares
	 */
	public long totalShare() {
		return this.totalShare;
	}

	/**
	 * Returns the caller that has a key.
	 * @param keyDigest the digest of the key
	 * @return the caller, or an empty result if no caller has the key
	 */
	public Optional<CallerPolicy> caller(Digest keyDigest) {
		return Optional.ofNullable(this.callersByKey.get(keyDigest));
	}

	/**
	 * Returns the group of the caller that has a key.
	 * @param keyDigest the digest of the key
	 * @return the group, or an empty result if no caller has the key
	 */
	public Optional<GroupPolicy> groupOf(Digest keyDigest) {
		return caller(keyDigest).flatMap((caller) -> group(caller.group()));
	}

	/**
	 * Returns the group that a program of a caller is charged to: that of the rule with
	 * the longest matching prefix among those that list the caller, or else the caller's
	 * own group.
	 * @param caller the caller
	 * @param program the name of the program
	 * @return the group the program is charged to
	 */
	public GroupName groupFor(CallerPolicy caller, ProgramName program) {
		return longest(this.rulesByCaller.get(caller.name()), program).map(ProgramRule::group).orElse(caller.group());
	}

	/**
	 * Returns the rule of a program: the one with the longest matching prefix in the
	 * program's group.
	 * @param group the group the program is charged to
	 * @param program the name of the program
	 * @return the rule, or an empty result if no rule matches the program
	 */
	public Optional<ProgramRule> ruleFor(GroupName group, ProgramName program) {
		return longest(this.rulesByGroup.get(group), program);
	}

	private static Optional<ProgramRule> longest(List<ProgramRule> longestFirst, ProgramName program) {
		if (longestFirst == null) {
			return Optional.empty();
		}
		return longestFirst.stream().filter((rule) -> rule.matches(program)).findFirst();
	}

	/**
	 * Returns the service class of a program.
	 * @param group the group the program is charged to
	 * @param program the name of the program
	 * @return the class set by the program's rule, or else interactive
	 */
	public ServiceClass classOf(GroupName group, ProgramName program) {
		return ruleFor(group, program).map(ProgramRule::serviceClass).orElse(ServiceClass.INTERACTIVE);
	}

	/**
	 * Returns a group.
	 * @param name the name of the group
	 * @return the group, or an empty result if the name is unknown
	 */
	public Optional<GroupPolicy> group(GroupName name) {
		return Optional.ofNullable(this.groups.get(name));
	}

	/**
	 * Returns a model.
	 * @param name the name of the model
	 * @return the model, or an empty result if the name is unknown
	 */
	public Optional<ModelPolicy> model(ModelName name) {
		return Optional.ofNullable(this.models.get(name));
	}

	/**
	 * Returns a service.
	 * @param name the name of the service
	 * @return the service, or an empty result if the name is unknown
	 */
	public Optional<ServicePolicy> service(ServiceName name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the upstream on a VM.
	 * @param vm the VM
	 * @return the upstream, or an empty result if there is none on the VM
	 */
	public Optional<UpstreamPolicy> upstream(VmName vm) {
		return Optional.ofNullable(this.upstreams.get(vm));
	}

	/**
	 * Returns the upstreams that serve a model, in the order of their VMs' names.
	 * @param model the model
	 * @return the upstreams, none if the model is unknown
	 */
	public List<UpstreamPolicy> upstreamsFor(ModelName model) {
		return this.upstreamsByModel.getOrDefault(model, List.of());
	}

	/**
	 * Returns the upstreams that provide a service, in the order of their VMs' names.
	 * @param service the service
	 * @return the upstreams, none if the service is unknown
	 */
	public List<UpstreamPolicy> upstreamsFor(ServiceName service) {
		return this.upstreamsByService.getOrDefault(service, List.of());
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Configuration that && parts().equals(that.parts());
	}

	@Override
	public int hashCode() {
		return parts().hashCode();
	}

	private List<Object> parts() {
		return List.of(this.site, this.zones, this.groups, this.callers, this.rules, this.models, this.services,
				this.upstreams, this.limits);
	}

	@Override
	public String toString() {
		return "Configuration of " + this.site;
	}

	/**
	 * A builder of configurations. Not safe for use by several threads.
	 */
	public static final class Builder {

		private final PolicyName site;

		private final Set<ZoneName> zones = new LinkedHashSet<>();

		private final List<GroupPolicy> groups = new ArrayList<>();

		private final List<CallerPolicy> callers = new ArrayList<>();

		private final List<ProgramRule> rules = new ArrayList<>();

		private final List<ModelPolicy> models = new ArrayList<>();

		private final List<ServicePolicy> services = new ArrayList<>();

		private final List<UpstreamPolicy> upstreams = new ArrayList<>();

		private Limits limits = Limits.DEFAULT;

		private Builder(PolicyName site) {
			this.site = Objects.requireNonNull(site, "site");
		}

		/**
		 * Adds an availability zone.
		 * @param zone the zone
		 * @return this builder
		 */
		public Builder with(ZoneName zone) {
			this.zones.add(zone);
			return this;
		}

		/**
		 * Adds a group.
		 * @param group the group
		 * @return this builder
		 */
		public Builder with(GroupPolicy group) {
			this.groups.add(group);
			return this;
		}

		/**
		 * Adds a caller.
		 * @param caller the caller
		 * @return this builder
		 */
		public Builder with(CallerPolicy caller) {
			this.callers.add(caller);
			return this;
		}

		/**
		 * Adds a rule.
		 * @param rule the rule
		 * @return this builder
		 */
		public Builder with(ProgramRule rule) {
			this.rules.add(rule);
			return this;
		}

		/**
		 * Adds a model.
		 * @param model the model
		 * @return this builder
		 */
		public Builder with(ModelPolicy model) {
			this.models.add(model);
			return this;
		}

		/**
		 * Adds a service.
		 * @param service the service
		 * @return this builder
		 */
		public Builder with(ServicePolicy service) {
			this.services.add(service);
			return this;
		}

		/**
		 * Adds an upstream.
		 * @param upstream the upstream
		 * @return this builder
		 */
		public Builder with(UpstreamPolicy upstream) {
			this.upstreams.add(upstream);
			return this;
		}

		/**
		 * Replaces the limits.
		 * @param replacement the limits
		 * @return this builder
		 */
		public Builder with(Limits replacement) {
			this.limits = Objects.requireNonNull(replacement, "replacement");
			return this;
		}

		/**
		 * Returns the configuration.
		 * @return the configuration
		 * @throws IllegalArgumentException if a name is duplicate or unknown, or two
		 * callers have the same key
		 */
		public Configuration build() {
			return new Configuration(this);
		}

	}

}
