package io.lentilslip.core.sidecar;

import java.time.Instant;
import java.util.List;

import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.Turn;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.NodeEvent;

/**
 * Immutable input event of a sidecar. Safe for use by several threads.
 */
public sealed interface SidecarEvent {

	/**
	 * Returns the time of the event.
	 * @return the time
	 */
	Instant now();

	/**
	 * An event of the log client.
	 *
	 * @param event the event
	 */
	record LogEventReceived(LogEvent event) implements SidecarEvent {

		@Override
		public Instant now() {
			return this.event.now();
		}

	}

	/**
	 * An event common to processes of all roles.
	 *
	 * @param event the event
	 */
	record NodeEventReceived(NodeEvent event) implements SidecarEvent {

		@Override
		public Instant now() {
			return this.event.now();
		}

	}

	/**
	 * An entry connected.
	 *
	 * @param entry the entry
	 * @param now the time of the event by the monotonic clock of the process
	 */
	record EntryConnected(ProcessId entry, Instant now) implements SidecarEvent {

	}

	/**
	 * The connection of an entry was closed.
	 *
	 * @param entry the entry
	 * @param now the time of the event by the monotonic clock of the process
	 */
	record EntryDisconnected(ProcessId entry, Instant now) implements SidecarEvent {

	}

	/**
	 * A message of an entry was received.
	 *
	 * @param entry the entry
	 * @param message the message
	 * @param now the time of the event by the monotonic clock of the process
	 */
	record EntryMessageReceived(ProcessId entry, LinkMessage.ToSidecar message, Instant now) implements SidecarEvent {

	}

	/**
	 * The upstream started to respond.
	 *
	 * @param run the identifier of the request
	 * @param now the time of the event by the monotonic clock of the process
	 */
	record RunStarted(RunId run, Instant now) implements SidecarEvent {

	}

	/**
	 * The upstream sent a part of the answer.
	 *
	 * @param run the identifier of the request
	 * @param text the next part of the text
	 * @param now the time of the event by the monotonic clock of the process
	 */
	record RunProgressed(RunId run, String text, Instant now) implements SidecarEvent {

	}

	/**
	 * A request to the upstream ended.
	 *
	 * @param run the identifier of the request
	 * @param result the result
	 * @param now the time of the event by the monotonic clock of the process
	 */
	record RunEnded(RunId run, RunResult result, Instant now) implements SidecarEvent {

	}

	/**
	 * The turns of a program were read from the log.
	 *
	 * @param program the program
	 * @param epoch the epoch that the read belongs to
	 * @param turns the turns in order, starting with the first
	 * @param now the time of the event by the monotonic clock of the process
	 */
	record HistoryRead(ProgramId program, Epoch epoch, List<Turn> turns, Instant now) implements SidecarEvent {

		/**
		 * Creates an event.
		 * @param program the program
		 * @param epoch the epoch that the read belongs to
		 * @param turns the turns in order, starting with the first
		 * @param now the time of the event by the monotonic clock of the process
		 */
		public HistoryRead {
			turns = List.copyOf(turns);
		}

	}

	/**
	 * The turns of a program could not be read.
	 *
	 * @param program the program
	 * @param epoch the epoch that the read belongs to
	 * @param lost whether the log has already deleted records of the history
	 * @param now the time of the event by the monotonic clock of the process
	 */
	record HistoryReadFailed(ProgramId program, Epoch epoch, boolean lost, Instant now) implements SidecarEvent {

	}

	/**
	 * The upstream reported its load.
	 *
	 * @param incarnation the incarnation of the upstream, or 0 if it reports none
	 * @param running the number of running requests when the report was made
	 * @param waiting the number of queued requests when the report was made
	 * @param heldTokens the tokens of cache held for sessions
	 * @param now the time of the event by the monotonic clock of the process
	 */
	record UpstreamLoadReceived(long incarnation, int running, int waiting, long heldTokens,
			Instant now) implements SidecarEvent {

	}

	/**
	 * The upstream did not respond.
	 *
	 * @param now the time of the event by the monotonic clock of the process
	 */
	record UpstreamUnreachable(Instant now) implements SidecarEvent {

	}

	/**
	 * The upstream released the cache of a program, or held none.
	 *
	 * @param program the program
	 * @param now the time of the event by the monotonic clock of the process
	 */
	record SessionReleased(ProgramId program, Instant now) implements SidecarEvent {

	}

	/**
	 * The release of the cache of a program failed.
	 *
	 * @param program the program
	 * @param now the time of the event by the monotonic clock of the process
	 */
	record SessionReleaseFailed(ProgramId program, Instant now) implements SidecarEvent {

	}

}
