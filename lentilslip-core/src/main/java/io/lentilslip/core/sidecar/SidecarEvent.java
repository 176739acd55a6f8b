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
 * An event in the life of a sidecar. Implementations are immutable and safe for use by
 * several threads.
 */
public sealed interface SidecarEvent {

	/**
	 * Returns the time of the event.
	 * @return the time
	 */
	Instant now();

	/**
	 * Something was learned of the log service.
	 *
	 * @param event what was learned
	 */
	record LogEventReceived(LogEvent event) implements SidecarEvent {

		@Override
		public Instant now() {
			return this.event.now();
		}

	}

	/**
	 * Something happened that happens to a process of any role.
	 *
	 * @param event what happened
	 */
	record NodeEventReceived(NodeEvent event) implements SidecarEvent {

		@Override
		public Instant now() {
			return this.event.now();
		}

	}

	/**
	 * A link from an entry opened.
	 *
	 * @param entry the entry
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record EntryConnected(ProcessId entry, Instant now) implements SidecarEvent {

	}

	/**
	 * A link from an entry ended.
	 *
	 * @param entry the entry
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record EntryDisconnected(ProcessId entry, Instant now) implements SidecarEvent {

	}

	/**
	 * An entry sent a message.
	 *
	 * @param entry the entry
	 * @param message the message
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record EntryMessageReceived(ProcessId entry, LinkMessage.ToSidecar message, Instant now) implements SidecarEvent {

	}

	/**
	 * The upstream began to answer.
	 *
	 * @param run the request to the upstream
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record RunStarted(RunId run, Instant now) implements SidecarEvent {

	}

	/**
	 * The upstream sent a part of an answer.
	 *
	 * @param run the request to the upstream
	 * @param text the text that follows
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record RunProgressed(RunId run, String text, Instant now) implements SidecarEvent {

	}

	/**
	 * A request to the upstream ended.
	 *
	 * @param run the request to the upstream
	 * @param result how it ended
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record RunEnded(RunId run, RunResult result, Instant now) implements SidecarEvent {

	}

	/**
	 * The turns of a program were read from the log.
	 *
	 * @param program the program
	 * @param epoch the epoch for which they were read
	 * @param turns the turns from the first on
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record HistoryRead(ProgramId program, Epoch epoch, List<Turn> turns, Instant now) implements SidecarEvent {

		/**
		 * Creates a value.
		 * @param program the program
		 * @param epoch the epoch for which they were read
		 * @param turns the turns from the first on
		 * @param now the time of the event, by a clock of this process that never goes
		 * back
		 */
		public HistoryRead {
			turns = List.copyOf(turns);
		}

	}

	/**
	 * The turns of a program could not be read.
	 *
	 * @param program the program
	 * @param epoch the epoch for which they were to be read
	 * @param lost whether the log no longer holds them
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record HistoryReadFailed(ProgramId program, Epoch epoch, boolean lost, Instant now) implements SidecarEvent {

	}

	/**
	 * The upstream told its load.
	 *
	 * @param instance the number of its life, or 0 if it has none
	 * @param running the requests it runs, some time ago
	 * @param waiting the requests that wait in it, some time ago
	 * @param heldTokens the tokens of memory it holds for sessions
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record UpstreamLoadReceived(long incarnation, int running, int waiting, long heldTokens,
			Instant now) implements SidecarEvent {

	}

	/**
	 * The upstream did not answer.
	 *
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record UpstreamUnreachable(Instant now) implements SidecarEvent {

	}

	/**
	 * The upstream released the cache of a program, or did not know it.
	 *
	 * @param program the program
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record SessionReleased(ProgramId program, Instant now) implements SidecarEvent {

	}

	/**
	 * The upstream could not be told to release the cache of a program.
	 *
	 * @param program the program
	 * @param now the time of the event, by a clock of this process that never goes back
	 */
	record SessionReleaseFailed(ProgramId program, Instant now) implements SidecarEvent {

	}

}
