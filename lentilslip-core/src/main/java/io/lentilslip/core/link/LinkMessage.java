package io.lentilslip.core.link;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.ledger.EndReason;
import io.lentilslip.core.ledger.Epoch;

/**
 * Message on a link between two processes. The messages of a link arrive in the order in
 * which they were sent until the link is closed. Implementations are immutable and
 * thread-safe.
 */
public sealed interface LinkMessage {

	/**
	 * A message that an entry sends to a sidecar.
	 */
	sealed interface ToSidecar extends LinkMessage {

	}

	/**
	 * A message that a sidecar sends to an entry.
	 */
	sealed interface FromSidecar extends LinkMessage {

	}

	/**
	 * The first message of each side after authentication by the shared secret.
	 *
	 * @param process the sending process
	 * @param zone its availability zone
	 * @param configurationVersion the version of its newest configuration, or -1 without
	 * one
	 */
	record Hello(ProcessId process, ZoneName zone, long configurationVersion) implements ToSidecar, FromSidecar {

	}

	/**
	 * A heartbeat, sent while the link is idle.
	 */
	record Heartbeat() implements ToSidecar, FromSidecar {

	}

	/**
	 * A published configuration, for a peer with an older one or none.
	 *
	 * @param version the offset of its record in the log
	 * @param source the bytes of its record
	 */
	record ConfigurationOffer(long version, Body source) implements ToSidecar, FromSidecar {

	}

	/**
	 * A call to run.
	 *
	 * @param attempt the attempt
	 * @param call the call
	 * @param authority the claim by which the sidecar may run it
	 * @param timeout the time until the caller's deadline
	 * @param deliveredText the text already delivered to the caller by an attempt at an
	 * earlier home, after which the response must continue
	 */
	record Dispatch(AttemptId attempt, CallRequest call, ExecutionAuthority authority, Duration timeout,
			String deliveredText) implements ToSidecar {

		/**
		 * Returns this call after a delay before its send.
		 * @param delay the delay
		 * @return the call with the remaining timeout, at least zero
		 */
		public Dispatch afterDelay(Duration delay) {
			Duration remaining = this.timeout.minus(delay);
			return new Dispatch(this.attempt, this.call, this.authority,
					remaining.isNegative() ? Duration.ZERO : remaining, this.deliveredText);
		}

	}

	/**
	 * A request to cancel an attempt, since the caller has disconnected.
	 *
	 * @param attempt the attempt
	 */
	record Cancel(AttemptId attempt) implements ToSidecar {

	}

	/**
	 * A request for the state and history of a program.
	 *
	 * @param attempt the identifier of the response
	 * @param program the program
	 */
	record ProgramRequest(AttemptId attempt, ProgramId program) implements ToSidecar {

	}

	/**
	 * A call was queued by the sidecar.
	 *
	 * @param attempt the attempt
	 */
	record Accepted(AttemptId attempt) implements FromSidecar {

	}

	/**
	 * A call was started at the upstream.
	 *
	 * @param attempt the attempt
	 * @param queueTime the time it was queued at the sidecar
	 */
	record Started(AttemptId attempt, Duration queueTime) implements FromSidecar {

	}

	/**
	 * A part of a response.
	 *
	 * @param attempt the attempt
	 * @param sequence the number of this part, from 0
	 * @param text the text that follows the previous parts
	 */
	record Delta(AttemptId attempt, int sequence, String text) implements FromSidecar {

	}

	/**
	 * An attempt has ended.
	 *
	 * @param attempt the attempt
	 * @param outcome the outcome
	 */
	record Finished(AttemptId attempt, CallOutcome outcome) implements FromSidecar {

	}

	/**
	 * The response to a {@link ProgramRequest}.
	 *
	 * @param attempt the identifier of the request
	 * @param view the state, if the program is known to the sidecar
	 */
	record ProgramResponse(AttemptId attempt, Optional<ProgramView> view) implements FromSidecar {

	}

	/**
	 * The load of a sidecar.
	 *
	 * @param queued the number of queued calls
	 * @param running the number of running calls at the upstream
	 * @param limit the maximum number of concurrent calls at the upstream
	 * @param heldTokens the tokens of engine memory held for programs
	 * @param warmPrefixes the digests of the most recent cached histories, newest first
	 */
	record LoadReport(int queued, int running, int limit, long heldTokens,
			List<Digest> warmPrefixes) implements FromSidecar {

		/**
		 * Creates a report.
		 * @param queued the number of queued calls
		 * @param running the number of running calls at the upstream
		 * @param limit the maximum number of concurrent calls at the upstream
		 * @param heldTokens the tokens of engine memory held for programs
		 * @param warmPrefixes the digests of the most recent cached histories, newest
		 * first
		 */
		public LoadReport {
			warmPrefixes = List.copyOf(warmPrefixes);
		}

	}

	/**
	 * A sidecar is draining and accepts no new calls.
	 */
	record Draining() implements FromSidecar {

	}

	/**
	 * The state and history of a program.
	 *
	 * @param program the program
	 * @param epoch the epoch of its home
	 * @param lastCall the number of its last turn, or 0
	 * @param pendingTurns the number of turns not yet committed to the log
	 * @param endReason the reason why it ended, if it has ended
	 * @param messages its history as JSON objects
	 */
	record ProgramView(ProgramId program, Epoch epoch, int lastCall, int pendingTurns, Optional<EndReason> endReason,
			List<String> messages) {

		/**
		 * Creates a view.
		 * @param program the program
		 * @param epoch the epoch of its home
		 * @param lastCall the number of its last turn, or 0
		 * @param pendingTurns the number of turns not yet committed to the log
		 * @param endReason the reason why it ended, if it has ended
		 * @param messages its history as JSON objects
		 */
		public ProgramView {
			messages = List.copyOf(messages);
		}

	}

}
