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
 * What a sidecar does. Implementations are immutable and safe for use by several threads.
 */
public sealed interface SidecarEffect {

	/**
	 * Something that a process of any role does.
	 *
	 * @param effect what to do
	 */
	record ForNode(NodeEffect effect) implements SidecarEffect {

	}

	/**
	 * Send a message to one life of an entry; dropped if no link to it is open.
	 *
	 * @param entry the receiver
	 * @param message the message
	 */
	record Send(ProcessId entry, LinkMessage.FromSidecar message) implements SidecarEffect {

	}

	/**
	 * Ask the engine for an answer. Reported by {@link SidecarEvent.RunStarted},
	 * {@link SidecarEvent.RunProgressed} and exactly one {@link SidecarEvent.RunEnded}.
	 *
	 * @param run the request
	 * @param order what to generate
	 */
	record Generate(RunId run, GenerationRequest request) implements SidecarEffect {

	}

	/**
	 * Pass a request to the plain service. Reported by exactly one
	 * {@link SidecarEvent.RunEnded}.
	 *
	 * @param run the request
	 * @param service the service
	 * @param message the HTTP request
	 * @param timeout how long to wait for the whole answer
	 */
	record CallService(RunId run, ServiceName service, ServiceRequest message,
			Duration timeout) implements SidecarEffect {

	}

	/**
	 * Break a request to the upstream off. It still ends by
	 * {@link SidecarEvent.RunEnded}.
	 *
	 * @param run the request
	 */
	record CancelRun(RunId run) implements SidecarEffect {

	}

	/**
	 * Read the turns of a program from the log, backwards from the last. Reported by
	 * {@link SidecarEvent.HistoryRead} or {@link SidecarEvent.HistoryReadFailed}.
	 *
	 * @param program the program
	 * @param epoch the epoch for which they are read
	 * @param last where the last turn stands
	 */
	record ReadHistory(ProgramId program, Epoch epoch, Position lastTurnPosition) implements SidecarEffect {

	}

	/**
	 * Tell the engine to release the cache held for a program. Reported by
	 * {@link SidecarEvent.SessionReleased} or {@link SidecarEvent.SessionReleaseFailed}.
	 *
	 * @param program the program
	 */
	record ReleaseSession(ProgramId program) implements SidecarEffect {

	}

}
