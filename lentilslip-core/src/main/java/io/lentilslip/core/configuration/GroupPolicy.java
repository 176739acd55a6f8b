package io.lentilslip.core.configuration;

import java.util.Objects;
import java.util.Optional;

import io.lentilslip.core.identity.GroupName;

/**
 * What a group is due. Immutable and safe for use by several threads.
 *
 * @param name the group
 * @param share the group's weight against the other groups' weights
 * @param budget the tokens the group may use, or nothing for no limit
 * @param queueBound the most calls of the group that may wait in one process, or nothing
 * for the site's limit
 */
public record GroupPolicy(GroupName name, long share, Optional<Budget> budget, Optional<Integer> queueBound) {

	/**
	 * Creates the policy of a group.
	 * @param name the group
	 * @param share the group's weight against the other groups' weights
	 * @param budget the tokens the group may use, or nothing for no limit
	 * @param queueBound the most calls of the group that may wait in one process, or
	 * nothing for the site's limit
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
	 * @param share the group's weight against the other groups' weights
	 * @return the policy
	 */
	public static GroupPolicy withShare(GroupName name, long share) {
		return new GroupPolicy(name, share, Optional.empty(), Optional.empty());
	}

	/**
	 * Returns this policy with a budget.
	 * @param limit the tokens the group may use
	 * @return the policy
	 */
	public GroupPolicy within(Budget limit) {
		return new GroupPolicy(this.name, this.share, Optional.of(limit), this.queueBound);
	}

}
