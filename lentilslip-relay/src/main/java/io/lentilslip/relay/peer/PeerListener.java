package io.lentilslip.relay.peer;

import java.util.List;
import java.util.Set;

import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;
import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.Member;
import io.lentilslip.core.relay.RunId;
import io.lentilslip.core.relay.TurnLocation;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.wire.relay.PeerMessage;

/**
 * Handles messages of other relays and changes of the links to them. Used by the event
 * loop's thread.
 */
public interface PeerListener {

	/**
	 * Another relay has replicated entries.
	 * @param peer the address of the other relay
	 * @param entries the entries
	 */
	void entriesReceived(String peer, List<LedgerEntry> entries);

	/**
	 * Another relay requests that this one writes a turn to the log on its behalf.
	 * @param peer the address of the other relay
	 * @param request the turn that it cannot write
	 */
	void turnWriteRequested(String peer, PeerMessage.TurnWriteRequest request);

	/**
	 * Another relay requests the text locations of a chain.
	 * @param peer the address of the other relay
	 * @param request the last turn of the chain
	 */
	void textLocationsRequested(String peer, String request);

	/**
	 * Another relay has sent text locations of a chain.
	 * @param peer the address of the other relay
	 * @param turns the turns that it knows
	 */
	void textLocationsReceived(String peer, List<TurnLocation> turns);

	/**
	 * Another relay requests the software version of a stream.
	 * @param peer the address of the other relay
	 * @param request the request that started the stream
	 */
	void streamVersionRequested(String peer, String request);

	/**
	 * Another relay has sent the software version of a stream.
	 * @param version the version
	 */
	void streamVersionReceived(PeerMessage.StreamVersion version);

	/**
	 * Another relay requests texts.
	 * @param peer the address of the other relay
	 * @param requests the turns
	 */
	void textsRequested(String peer, Set<String> requests);

	/**
	 * Another relay has sent requested texts.
	 * @param texts the texts
	 */
	void textsReceived(List<TurnText> texts);

	/**
	 * Another relay has written turns to the log on behalf of this one.
	 * @param requests the turns
	 */
	void turnWritesAcknowledged(Set<String> requests);

	/**
	 * Another relay requests a reservation of a program's budget.
	 * @param peer the address of the other relay
	 * @param request the request
	 */
	void reservationRequested(String peer, PeerMessage.ReservationRequest request);

	/**
	 * Another relay has answered a reservation request with the program's usage.
	 * @param peer the address of the other relay
	 * @param usage the usage
	 */
	void usageReceived(String peer, PeerMessage.Usage usage);

	/**
	 * Another relay has made a reservation but cannot state the usage, since it may lack
	 * entries.
	 * @param peer the address of the other relay
	 * @param run the run of the reservation
	 */
	void usageUnavailable(String peer, RunId run);

	/**
	 * Another relay, which may lack entries, requests uncommitted ones.
	 * @param peer the address of the other relay
	 */
	void syncRequested(String peer);

	/**
	 * The list of relays of the site has changed.
	 * @param members all relays, including this one
	 */
	void membershipUpdated(List<Member> members);

	/**
	 * Another relay has read from the log whether a turn of this relay is admitted.
	 * @param decision the decision
	 */
	void logDecisionReceived(PeerMessage.LogDecision decision);

	/**
	 * Another relay requests permits of a team.
	 * @param peer the address of the other relay
	 * @param request the request
	 */
	void permitsRequested(String peer, PermitRequest request);

	/**
	 * Another relay has granted permits of a team.
	 * @param peer the address of the other relay
	 * @param reply the granted permits
	 */
	void permitsGranted(String peer, PermitReply reply);

	/**
	 * Another relay, which lacks no entries, has sent all uncommitted entries that it
	 * knows.
	 * @param peer the address of the other relay
	 */
	void syncCompleted(String peer);

	/**
	 * A link was connected.
	 * @param peer the address of the other relay
	 */
	void peerConnected(String peer);

	/**
	 * A link was disconnected.
	 * @param peer the address of the other relay
	 * @param reason the reason
	 */
	void peerDisconnected(String peer, String reason);

	/**
	 * Another relay has been unreachable for so long that its address should be removed
	 * from the store.
	 * @param peer the address of the other relay
	 */
	void peerUnreachable(String peer);

	/**
	 * The address of this relay was removed from the store by a relay that cannot reach
	 * it.
	 */
	void addressRemoved();

}
