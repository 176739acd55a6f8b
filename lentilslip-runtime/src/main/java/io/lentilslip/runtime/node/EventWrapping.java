package io.lentilslip.runtime.node;

import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.NodeEvent;

/**
 * Makes events of a role from those that both roles have. Implementations are safe for
 * use by several threads.
 *
 * @param <E> the type of the role's events
 */
public interface EventWrapping<E> {

	/**
	 * Returns the role's event for something that happens to a process of any role.
	 * @param event what happened
	 * @return the event
	 */
	E of(NodeEvent event);

	/**
	 * Returns the role's event for something that was learned of the log service.
	 * @param event what was learned
	 * @return the event
	 */
	E of(LogEvent event);

}
