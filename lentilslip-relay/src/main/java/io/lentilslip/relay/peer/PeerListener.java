package io.lentilslip.relay.peer;

import java.util.List;
import java.util.Set;

import io.lentilslip.core.relay.LedgerEntry;

/**
 * Takes what other relays say. Used by the event loop's thread.
 */
public interface PeerListener {

	/**
	 * Entries of another relay.
	 * @param entries the entries
	 */
	void entries(List<LedgerEntry> entries);

	/**
	 * Another relay asks for help with the log.
	 * @param peer its address
	 * @param requests the turns
	 */
	void helpAsked(String peer, Set<String> requests);

	/**
	 * The log has turns that this relay asked for help with.
	 * @param requests the turns
	 */
	void stored(Set<String> requests);

	/**
	 * A link to another relay is up.
	 * @param peer its address
	 */
	void linked(String peer);

	/**
	 * A link to another relay is lost.
	 * @param peer its address
	 * @param reason why
	 */
	void lost(String peer, String reason);

	/**
	 * A relay has not been reached for so long that its address should be forgotten.
	 * @param peer its address
	 */
	void outOfReach(String peer);

	/**
	 * The address of this relay itself was dropped from the store, by one that can't
	 * reach it.
	 */
	void forgotten();

}
