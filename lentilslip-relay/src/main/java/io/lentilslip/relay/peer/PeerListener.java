package io.lentilslip.relay.peer;

import java.util.List;
import java.util.Set;

import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;
import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.Member;
import io.lentilslip.core.relay.TurnLocation;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.wire.relay.PeerMessage;

/**
 * Takes what other relays say. Used by the event loop's thread.
 */
public interface PeerListener {

	/**
	 * Entries of another relay.
	 * @param peer its address
	 * @param entriesReceived the entries
	 */
	void entriesReceived(String peer, List<LedgerEntry> entries);

	/**
	 * Another relay asks for help with the log.
	 * @param peer its address
	 * @param help the turn that it can't write
	 */
	void turnWriteRequested(String peer, PeerMessage.TurnWriteRequest help);

	/**
	 * Another relay asks where the texts of a chain are.
	 * @param peer its address
	 * @param request the last turn of the chain
	 */
	void textLocationsRequested(String peer, String request);

	/**
	 * Another relay has told where the texts of a chain are.
	 * @param peer its address
	 * @param turns the turns that it knows
	 */
	void textLocationsReceived(String peer, List<TurnLocation> turns);

	/**
	 * Another relay asks for texts.
	 * @param peer its address
	 * @param requests the turns
	 */
	void textsRequested(String peer, Set<String> requests);

	/**
	 * Another relay has sent texts that this one asked for.
	 * @param texts the texts
	 */
	void textsReceived(List<TurnText> texts);

	/**
	 * The log has turns that this relay asked for help with.
	 * @param requests the turns
	 */
	void turnWritesAcknowledged(Set<String> requests);

	/**
	 * Another relay asks what is taken of a program's budget.
	 * @param peer its address
	 * @param question the question
	 */
	void reservationRequested(String peer, PeerMessage.ReservationRequest question);

	/**
	 * Another relay has answered a question.
	 * @param peer its address
	 * @param taken the answer
	 */
	void usageReceived(String peer, PeerMessage.Usage taken);

	/**
	 * Another relay can't answer a question, since it may miss turns.
	 * @param peer its address
	 * @param request the turn of the question
	 */
	void usageUnavailable(String peer, String request);

	/**
	 * Another relay, which may miss turns, asks for what the log has not shown.
	 * @param peer its address
	 */
	void syncRequested(String peer);

	/**
	 * The relays of the site were listed anew.
	 * @param members all of them, this one included
	 */
	void membershipUpdated(List<Member> members);

	/**
	 * Another relay has read from the log whether a budget holds a turn of this one.
	 * @param place what it read
	 */
	void logDecisionReceived(PeerMessage.LogDecision place);

	/**
	 * Another relay asks for permits of a team.
	 * @param peer its address
	 * @param ask what it asks for
	 */
	void permitsRequested(String peer, PermitRequest ask);

	/**
	 * Another relay has granted permits of a team.
	 * @param peer its address
	 * @param reply what it granted
	 */
	void permitsGranted(String peer, PermitReply reply);

	/**
	 * Another relay, which misses nothing, has told all that it knows beyond the log.
	 * @param peer its address
	 */
	void syncCompleted(String peer);

	/**
	 * A link to another relay is up.
	 * @param peer its address
	 */
	void peerConnected(String peer);

	/**
	 * A link to another relay is lost.
	 * @param peer its address
	 * @param reason why
	 */
	void peerDisconnected(String peer, String reason);

	/**
	 * A relay has not been reached for so long that its address should be forgotten.
	 * @param peer its address
	 */
	void peerUnreachable(String peer);

	/**
	 * The address of this relay itself was dropped from the store, by one that can't
	 * reach it.
	 */
	void addressRemoved();

}
