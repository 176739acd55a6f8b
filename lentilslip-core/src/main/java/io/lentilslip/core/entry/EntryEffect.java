package io.lentilslip.core.entry;

import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.role.NodeEffect;

/**
 * What an entry does. Implementations are immutable and safe for use by several threads.
 */
public sealed interface EntryEffect {

	/**
	 * Something that a process of any role does.
	 *
	 * @param effect what to do
	 */
	record ForNode(NodeEffect effect) implements EntryEffect {

	}

	/**
	 * Open a link to a sidecar and keep it open, trying again with pauses.
	 *
	 * @param vm the VM of the sidecar
	 * @param address its address
	 */
	record Connect(VmName vm, Endpoint address) implements EntryEffect {

	}

	/**
	 * Close the link to a sidecar and do not open it again.
	 *
	 * @param vm the VM of the sidecar
	 */
	record Disconnect(VmName vm) implements EntryEffect {

	}

	/**
	 * Send a message to one life of a sidecar, or report {@link EntryEvent.SendRefused}.
	 *
	 * @param sidecar the receiver
	 * @param message the message
	 */
	record Send(ProcessId sidecar, LinkMessage.ToSidecar message) implements EntryEffect {

	}

	/**
	 * Give the caller the next part of its answer. Ignored for a caller who wants the
	 * answer whole.
	 *
	 * @param ticket the request
	 * @param text the text that follows
	 */
	record Deliver(Ticket ticket, String text) implements EntryEffect {

	}

	/**
	 * Give the caller the end of its request. Nothing follows for this ticket.
	 *
	 * @param ticket the request
	 * @param outcome how it ended
	 */
	record Complete(Ticket ticket, CallOutcome outcome) implements EntryEffect {

	}

	/**
	 * Give the caller the state of a program. Nothing follows for this ticket.
	 *
	 * @param ticket the request
	 * @param view the state
	 */
	record SendProgramState(Ticket ticket, LinkMessage.ProgramView view) implements EntryEffect {

	}

}
