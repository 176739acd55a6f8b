package io.lentilslip.core.share;

import java.util.HashMap;
import java.util.Map;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.identity.GroupName;

/**
 * What a queue may hold at most. Immutable and safe for use by several threads.
 *
 * @param maxCalls the most waiting calls
 * @param maxCallsPerGroup the most waiting calls of a group that has no bound of its own
 * @param groupOverrides the bounds of groups that have one of their own
 * @param maxPrograms the most programs whose service is remembered
 */
public record QueueBounds(int maxCalls, int maxCallsPerGroup, Map<GroupName, Integer> groupOverrides, int maxPrograms) {

	/**
	 * The programs remembered beside one engine, far above those that share its memory.
	 */
	public static final int DEFAULT_MAX_PROGRAMS = 4096;

	/**
	 * Creates bounds.
	 * @param maxCalls the most waiting calls
	 * @param maxCallsPerGroup the most waiting calls of a group that has no bound of its
	 * own
	 * @param groupOverrides the bounds of groups that have one of their own
	 * @param maxPrograms the most programs whose service is remembered
	 * @throws IllegalArgumentException if a bound is not positive
	 */
	public QueueBounds {
		groupOverrides = Map.copyOf(groupOverrides);
		if (maxCalls < 1 || maxCallsPerGroup < 1 || maxPrograms < 1
				|| groupOverrides.values().stream().anyMatch((bound) -> bound < 1)) {
			throw new IllegalArgumentException("a bound must be positive");
		}
	}

	/**
	 * Returns bounds that are the same for each group.
	 * @param maxCalls the most waiting calls
	 * @param maxCallsPerGroup the most waiting calls of one group
	 * @return the bounds
	 */
	public static QueueBounds of(int callsInAll, int callsPerGroup) {
		return new QueueBounds(callsInAll, callsPerGroup, Map.of(), DEFAULT_MAX_PROGRAMS);
	}

	/**
	 * Returns the bounds that a configuration gives.
	 * @param configuration the configuration
	 * @return the bounds
	 */
	public static QueueBounds from(Configuration configuration) {
		Map<GroupName, Integer> ownBounds = new HashMap<>();
		configuration.groups()
			.forEach((group) -> group.queueBound().ifPresent((bound) -> ownBounds.put(group.name(), bound)));
		Limits.QueueLimits limits = configuration.limits().queues();
		return new QueueBounds(limits.callsInAll(), limits.callsPerGroup(), ownBounds, DEFAULT_MAX_PROGRAMS);
	}

	/**
	 * Returns the most waiting calls of a group.
	 * @param group the group
	 * @return its own bound, else that of all groups
	 */
	public int of(GroupName group) {
		return this.groupOverrides.getOrDefault(group, this.maxCallsPerGroup);
	}

}
