package io.lentilslip.core.share;

import java.util.Map;
import java.util.stream.Collectors;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.GroupPolicy;
import io.lentilslip.core.identity.GroupName;

/**
 * Immutable relative weights of groups. A group that is not listed has weight one.
 * Thread-safe.
 *
 * @param weights the weight of each listed group
 */
public record Shares(Map<GroupName, Long> weights) {

	/**
	 * Equal shares for all groups.
	 */
	public static final Shares EQUAL = new Shares(Map.of());

	private static final long DEFAULT_WEIGHT = 1;

	/**
	 * Creates shares.
	 * @param weights the weight of each listed group
	 * @throws IllegalArgumentException if a weight is not positive
	 */
	public Shares {
		weights = Map.copyOf(weights);
		if (weights.values().stream().anyMatch((weight) -> weight <= 0)) {
			throw new IllegalArgumentException("share must be positive");
		}
	}

	/**
	 * Returns the shares of a configuration.
	 * @param configuration the configuration
	 * @return the shares of its groups
	 */
	public static Shares from(Configuration configuration) {
		return new Shares(
				configuration.groups().stream().collect(Collectors.toMap(GroupPolicy::name, GroupPolicy::share)));
	}

	/**
	 * Returns the weight of a group.
	 * @param group the group
	 * @return its weight, or one if it is not listed
	 */
	public long of(GroupName group) {
		return this.weights.getOrDefault(group, DEFAULT_WEIGHT);
	}

	/**
	 * Returns whether a group is listed.
	 * @param group the group
	 * @return whether it is listed
	 */
	public boolean contains(GroupName group) {
		return this.weights.containsKey(group);
	}

}
