package io.lentilslip.core.configuration;

import java.util.Objects;
import java.util.Optional;

import io.lentilslip.core.identity.GroupName;

/**
 * Immutable share, budget and queue bound of a group. Thread-safe.
 *
 * @param name the group
 * @param share the group's weight relative to other groups
 * @param budget the budget, or an empty value for no limit
 * @param queueBound the maximum number of calls of the group queued in one process, or an
 * empty value for the site's limit
 */
public record GroupPolicy(GroupName name, long share, Optional<Budget> budget, Optional<Integer> queueBound) {

	/**
	 * Creates the policy of a group.
	 * @param name the group
	 * @param share the group's weight relative to other groups
	 * @param budget the budget, or an empty value for no limit
	 * @param queueBound the maximum number of calls of the group queued in one process,
	 * or an empty value for the site's limit
	 * @throws IllegalArgumentException if the share or the bound is not positive
	 */
	public GroupPolicy {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(budget, "budget");
		Requirement.positive("share", share);
		queueBound.ifPresent((bound) -> Requirement.positive("queue bound", bound));
	}

	/**
	 * Returns the policy of a group without a budget and with the site's queue bound.
	 * @param name the group
	 * @param share the group's weight relative to other groups
	 * @return the policy
	 */
	public static GroupPolicy withShare(GroupName name, long share) {
		return new GroupPolicy(name, share, Optional.empty(), Optional.empty());
	}

	/**
	 * Returns this policy with a budget.
	 * @param limit the budget
	 * @return the policy
	 */
	public GroupPolicy within(Budget limit) {
		return new GroupPolicy(this.name, this.share, Optional.of(limit), this.queueBound);
	}

}
