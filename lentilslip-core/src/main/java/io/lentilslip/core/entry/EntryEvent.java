package io.lentilslip.core.entry;

import java.time.Instant;

import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.role.LogEvent;
import io.lentilslip.core.role.NodeEvent;

/**
 * Input event of an entry. Implementations are immutable and safe for use by several
 * threads.
 */
public sealed interface EntryEvent {

	/**
	 * Returns the time of the event.
	 * @return the time
	 */
	Instant now();

	/**
	 * An event of the log service was received.
	 *
	 * @param event the log event
	 */
	record LogEventReceived(LogEvent event) implements EntryEvent {

		@Override
		public Instant now() {
			return this.event.now();
		}

	}

	/**
	 * An event common to processes of all roles was received.
	 *
	 * @param event the event
	 */
	record NodeEventReceived(NodeEvent event) implements EntryEvent {

		@Override
		public Instant now() {
			return this.event.now();
		}

	}

	/**
	 * A request was received from a caller.
	 *
	 * @param ticket the request
	 * @param submission the request's content
	 * @param now the time of the event, by a monotonic clock of this process
	 * @param seed a random seed for the resulting decisions
	 */
	record CallArrived(Ticket ticket, Submission submission, Instant now, long seed) implements EntryEvent {

	}

	/**
	 * The caller disconnected before its request was completed.
	 *
	 * @param ticket the request
	 * @param now the time of the event, by a monotonic clock of this process
	 */
	record CallerDisconnected(Ticket ticket, Instant now) implements EntryEvent {

	}

	/**
	 * A caller requested the state of a program.
	 *
	 * @param ticket the request
	 * @param caller the digest of the key that the caller showed
	 * @param program the program
	 * @param now the time of the event, by a monotonic clock of this process
	 */
	record ProgramStateRequested(Ticket ticket, Digest caller, ProgramName program, Instant now) implements EntryEvent {

	}

	/**
	 * A caller requested the end of a program.
	 *
	 * @param ticket the request
	 * @param caller the digest of the key that the caller showed
	 * @param program the program
	 * @param now the time of the event, by a monotonic clock of this process
	 */
	record ProgramEndRequested(Ticket ticket, Digest caller, ProgramName program, Instant now) implements EntryEvent {

	}

	/**
	 * A link to a sidecar was opened.
	 *
	 * @param vm the VM of the sidecar, as configured
	 * @param sidecar the process at the other end
	 * @param now the time of the event, by a monotonic clock of this process
	 */
	record SidecarLinked(VmName vm, ProcessId sidecar, Instant now) implements EntryEvent {

	}

	/**
	 * A link to a sidecar was closed or could not be opened.
	 *
	 * @param vm the VM of the sidecar
	 * @param now the time of the event, by a monotonic clock of this process
	 */
	record SidecarUnlinked(VmName vm, Instant now) implements EntryEvent {

	}

	/**
	 * A message was received from a sidecar.
	 *
	 * @param sidecar the sidecar
	 * @param message the message
	 * @param now the time of the event, by a monotonic clock of this process
	 */
	record SidecarMessageReceived(ProcessId sidecar, LinkMessage.FromSidecar message,
			Instant now) implements EntryEvent {

	}

	/**
	 * A message was not sent because no link to its receiver was open.
	 *
	 * @param sidecar the receiver
	 * @param message the message
	 * @param now the time of the event, by a monotonic clock of this process
	 */
	record SendRefused(ProcessId sidecar, LinkMessage.ToSidecar message, Instant now) implements EntryEvent {

	}

}
