package io.lentilslip.entry.http;

import io.lentilslip.core.entry.EntryEvent;

/**
 * The way in to the reducer of an entry. Implementations are safe for use by several
 * threads and do not block.
 */
public interface Submissions {

	/**
	 * Offers an event that begins something.
	 * @param event the event
	 * @return whether the reducer will see the event; otherwise it surely will not
	 */
	boolean submit(EntryEvent event);

	/**
	 * Hands over an event that ends something. Unlike {@link #submit}, it is never
	 * refused: a lost end would leave its call running for nobody.
	 * @param event the event
	 */
	void post(EntryEvent event);

}
