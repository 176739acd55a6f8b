package io.lentilslip.sidecar.upstream;

import io.lentilslip.core.sidecar.SidecarEvent;

/**
 * Where events of the upstream go. Implementations are safe for use by several threads.
 */
public interface UpstreamReports {

	/**
	 * Takes an event that the reducer can't do without. Does not block.
	 * @param event the event
	 */
	void post(SidecarEvent event);

	/**
	 * Takes a part of an answer once there is room for it. An upstream that generates
	 * faster than the sidecar decides is slowed down by its connection.
	 * @param event the event
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	void postWhenRoom(SidecarEvent event) throws InterruptedException;

}
