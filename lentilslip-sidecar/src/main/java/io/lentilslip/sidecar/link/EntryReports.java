package io.lentilslip.sidecar.link;

import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.sidecar.SidecarEvent;
import io.lentilslip.runtime.loop.Admission;

/**
 * Where goes what happens on links from entries. Methods do not block. Implementations
 * are safe for use by several threads.
 */
public interface EntryReports {

	/**
	 * Takes an event of work that may be refused.
	 * @param event the event
	 * @return whether the reducer will see the event
	 */
	Admission offer(SidecarEvent event);

	/**
	 * Takes an event that the reducer can't do without.
	 * @param event the event
	 */
	void post(SidecarEvent event);

	/**
	 * Takes a configuration that an entry has.
	 * @param vm the VM of the entry
	 * @param offer the configuration
	 */
	void offered(VmName vm, LinkMessage.ConfigurationOffer offer);

	/**
	 * Takes a notice.
	 * @param notice the notice
	 */
	void report(Notice notice);

}
