package io.lentilslip.core.entry;

import java.time.Duration;
import java.time.Instant;

import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.role.NodeEffect;

/**
 * Effect requested by the decisions of an entry. Implementations are immutable and safe
 * for use by several threads.
 */
public sealed interface EntryEffect {

	/**
	 * An effect common to processes of all roles.
	 *
	 * @param effect the effect
	 */
	record ForNode(NodeEffect effect) implements EntryEffect {

	}

	/**
	 * Open a link to a sidecar and keep it open, reconnecting with backoff.
	 *
	 * @param vm the VM of the sidecar
	 * @param address its address
	 */
	record Connect(VmName vm, Endpoint address) implements EntryEffect {

	}

	/**
	 * Close the link to a sidecar and stop reconnecting.
	 *
	 * @param vm the VM of the sidecar
	 */
	record Disconnect(VmName vm) implements EntryEffect {

	}

	/**
	 * Send a message to one incarnation of a sidecar, or report
	 * {@link EntryEvent.SendRefused}.
	 *
	 * @param sidecar the receiver
	 * @param message the message
	 * @param decidedAt the time of the event that caused it
	 */
	record Send(ProcessId sidecar, LinkMessage.ToSidecar message, Instant decidedAt) implements EntryEffect {

		/**
		 * Returns the message with the timeout of its call reduced by the time for which
		 * the event and this effect were queued.
		 * @param now the current time
		 * @return the message to send
		 */
		public LinkMessage.ToSidecar messageAt(Instant now) {
			return switch (this.message) {
				case LinkMessage.Dispatch dispatch -> dispatch.afterDelay(Duration.between(this.decidedAt, now));
				default -> this.message;
			};
		}

	}

	/**
	 * Send the next part of the answer to the caller. Ignored if the caller did not
	 * request streaming.
	 *
	 * @param ticket the request
	 * @param text the text
	 */
	record Deliver(Ticket ticket, String text) implements EntryEffect {

	}

	/**
	 * Complete a request. No further effects follow for its ticket.
	 *
	 * @param ticket the request
	 * @param outcome the outcome
	 */
	record Complete(Ticket ticket, CallOutcome outcome) implements EntryEffect {

	}

	/**
	 * Send the state of a program to the caller. No further effects follow for its
	 * ticket.
	 *
	 * @param ticket the request
	 * @param view the state
	 */
	record SendProgramState(Ticket ticket, LinkMessage.ProgramView view) implements EntryEffect {

	}

}
