package io.lentilslip.entry.link;

import io.lentilslip.core.entry.EntryEvent;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.Notice;

/**
 * What learns what happens on the links of an entry. Implementations are safe for use by
 * several threads and do not block.
 */
public interface LinkReports {

	/**
	 * Takes an event for the reducer, in the order of the link's messages.
	 * @param event the event
	 */
	void post(EntryEvent event);

	/**
	 * Takes a configuration that a sidecar says is in force.
	 * @param vm the VM of the sidecar
	 * @param offer the configuration
	 */
	void offered(VmName vm, LinkMessage.ConfigurationOffer offer);

	/**
	 * Takes a numbered event.
	 * @param notice the numbered event
	 */
	void report(Notice notice);

	/**
	 * Takes a measurement.
	 * @param measurement the measurement
	 */
	void measure(Measurement measurement);

}
