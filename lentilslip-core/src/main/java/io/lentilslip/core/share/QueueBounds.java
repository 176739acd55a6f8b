package io.lentilslip.core.share;

import java.util.HashMap;
import java.util.Map;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.identity.GroupName;

/**
 * Immutable bounds of a queue. Thread-safe.
 *
 * @param maxCalls the maximum number of waiting calls
 * @param maxCallsPerGroup the maximum number of waiting calls of a group without an
 * override
 * @param groupOverrides the maximum numbers of waiting calls of single groups
 * @param maxPrograms the maximum number of programs whose service is tracked
 */
public record QueueBounds(int maxCalls, int maxCallsPerGroup, Map<GroupName, Integer> groupOverrides, int maxPrograms) {

	/**
	 * The default maximum number of tracked programs, well above those that fit in the
	 * memory of one engine.
	 */
	public static final int DEFAULT_MAX_PROGRAMS = 4096;

	/**
	 * Creates bounds.
	 * @param maxCalls the maximum number of waiting calls
	 * @param maxCallsPerGroup the maximum number of waiting calls of a group without an
	 * override
	 * @param groupOverrides the maximum numbers of waiting calls of single groups
	 * @param maxPrograms the maximum number of programs whose service is tracked
	 * @throws IllegalArgumentException if a bound is not positive
	 */
	public QueueBounds {
		groupOverrides = Map.copyOf(groupOverrides);
		if (maxCalls < 1 || maxCallsPerGroup < 1 || maxPrograms < 1
				|| groupOverrides.values().stream().anyMatch((bound) -> bound < 1)) {
			throw new IllegalArgumentException("queue bounds must be positive");
		}
	}

	/**
	 * Returns bounds without overrides.
	 * @param maxCalls the maximum number of waiting calls
	 * @param maxCallsPerGroup the maximum number of waiting calls of one group
	 * @return the bounds
	 */
	public static QueueBounds of(int maxCalls, int maxCallsPerGroup) {
		return new QueueBounds(maxCalls, maxCallsPerGroup, Map.of(), DEFAULT_MAX_PROGRAMS);
	}

	/**
	 * Returns the bounds of a configuration.
	 * @param configuration the configuration
	 * @return the bounds
	 */
	public static QueueBounds from(Configuration configuration) {
		Map<GroupName, Integer> overrides = new HashMap<>();
		configuration.groups()
			.forEach((group) -> group.queueBound().ifPresent((bound) -> overrides.put(group.name(), bound)));
		Limits.QueueLimits limits = configuration.limits().queues();
		return new QueueBounds(limits.callsInAll(), limits.callsPerGroup(), overrides, DEFAULT_MAX_PROGRAMS);
	}

	/**
	 * Returns the maximum number of waiting calls of a group.
	 * @param group the group
	 * @return its override, or the default of all groups
	 */
	public int of(GroupName group) {
		return this.groupOverrides.getOrDefault(group, this.maxCallsPerGroup);
	}

}
