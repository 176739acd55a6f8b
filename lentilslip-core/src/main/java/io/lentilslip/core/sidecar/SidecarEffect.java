package io.lentilslip.core.sidecar;

import java.time.Duration;

import io.lentilslip.core.call.ServiceRequest;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ServiceName;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.Position;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.role.NodeEffect;

/**
 * Immutable effects requested by the decisions of a sidecar. Safe for use by several
 * threads.
 */
public sealed interface SidecarEffect {

	/**
	 * An effect common to processes of all roles.
	 *
	 * @param effect the effect
	 */
	record ForNode(NodeEffect effect) implements SidecarEffect {

	}

	/**
	 * Send a message to one incarnation of an entry; dropped if no connection to it is
	 * open.
	 *
	 * @param entry the receiver
	 * @param message the message
	 */
	record Send(ProcessId entry, LinkMessage.FromSidecar message) implements SidecarEffect {

	}

	/**
	 * Send a generation request to the engine. Reported by
	 * {@link SidecarEvent.RunStarted}, {@link SidecarEvent.RunProgressed} and exactly one
	 * {@link SidecarEvent.RunEnded}.
	 *
	 * @param run the identifier of the request
	 * @param request the request to the engine
	 */
	record Generate(RunId run, GenerationRequest request) implements SidecarEffect {

	}

	/**
	 * Forward a request to the service. Reported by exactly one
	 * {@link SidecarEvent.RunEnded}.
	 *
	 * @param run the identifier of the request
	 * @param service the service
	 * @param message the HTTP request
	 * @param timeout the maximum time until the response is complete
	 */
	record CallService(RunId run, ServiceName service, ServiceRequest message,
			Duration timeout) implements SidecarEffect {

	}

	/**
	 * Cancel a request to the upstream. The request still ends with
	 * {@link SidecarEvent.RunEnded}.
	 *
	 * @param run the identifier of the request
	 */
	record CancelRun(RunId run) implements SidecarEffect {

	}

	/**
	 * Read the turns of a program from the log, starting with the last. Reported by
	 * {@link SidecarEvent.HistoryRead} or {@link SidecarEvent.HistoryReadFailed}.
	 *
	 * @param program the program
	 * @param epoch the epoch that the read belongs to
	 * @param lastTurnPosition the position of the last turn in the log
	 */
	record ReadHistory(ProgramId program, Epoch epoch, Position lastTurnPosition) implements SidecarEffect {

	}

	/**
	 * Request the engine to release the cache of a program. Reported by
	 * {@link SidecarEvent.SessionReleased} or {@link SidecarEvent.SessionReleaseFailed}.
	 *
	 * @param program the program
	 */
	record ReleaseSession(ProgramId program) implements SidecarEffect {

	}

}
