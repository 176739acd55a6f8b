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
 * A message on a link between two processes. Messages of one link arrive in the order in
 * which they were sent, or the link ends. Implementations are immutable and safe for use
 * by several threads.
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
	 * The first message of each side, once the shared secret is proved.
	 *
	 * @param process the process that speaks
	 * @param zone the availability zone it is in
	 * @param configurationVersion the newest configuration it has, or -1 for none
	 */
	record Hello(ProcessId process, ZoneName zone, long configurationVersion) implements ToSidecar, FromSidecar {

	}

	/**
	 * A sign of life, sent when nothing else is.
	 */
	record Heartbeat() implements ToSidecar, FromSidecar {

	}

	/**
	 * A published configuration, for a peer that has an older one or none.
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
	 * @param standing by what right the sidecar may run it
	 * @param timeLeft the time left until the caller's deadline
	 * @param delivered the text of the answer that the caller already has, from an
	 * attempt at an earlier home; the answer must go on after it
	 */
	record Dispatch(AttemptId attempt, CallRequest call, ExecutionAuthority authority, Duration timeout,
			String deliveredText) implements ToSidecar {

	}

	/**
	 * A wish to end an attempt, since the caller has gone.
	 *
	 * @param attempt the attempt
	 */
	record Cancel(AttemptId attempt) implements ToSidecar {

	}

	/**
	 * A question for the state and history of a program.
	 *
	 * @param attempt the number under which the answer is reported
	 * @param program the program
	 */
	record ProgramRequest(AttemptId attempt, ProgramId program) implements ToSidecar {

	}

	/**
	 * A call that the sidecar took into its queue.
	 *
	 * @param attempt the attempt
	 */
	record Accepted(AttemptId attempt) implements FromSidecar {

	}

	/**
	 * A call that began to run at the upstream.
	 *
	 * @param attempt the attempt
	 * @param queued the time it waited beside the upstream
	 */
	record Started(AttemptId attempt, Duration queueTime) implements FromSidecar {

	}

	/**
	 * A part of an answer.
	 *
	 * @param attempt the attempt
	 * @param sequence the number of this part, from 0
	 * @param text the text that follows what came before
	 */
	record Delta(AttemptId attempt, int sequence, String text) implements FromSidecar {

	}

	/**
	 * The end of an attempt.
	 *
	 * @param attempt the attempt
	 * @param outcome how it ended
	 */
	record Finished(AttemptId attempt, CallOutcome outcome) implements FromSidecar {

	}

	/**
	 * The state of a program, or its absence.
	 *
	 * @param attempt the number under which it was asked
	 * @param view the state, if the sidecar knows the program
	 */
	record ProgramResponse(AttemptId attempt, Optional<ProgramView> view) implements FromSidecar {

	}

	/**
	 * The load of a sidecar.
	 *
	 * @param queued the calls waiting
	 * @param running the calls at the upstream
	 * @param limit the most calls at the upstream at once
	 * @param heldTokens the tokens of engine memory held for programs
	 * @param warmPrefixes the digests of histories that are warm, newest first, bounded
	 */
	record LoadReport(int queued, int running, int limit, long heldTokens,
			List<Digest> warmPrefixes) implements FromSidecar {

		/**
		 * Creates a report.
		 * @param queued the calls waiting
		 * @param running the calls at the upstream
		 * @param limit the most calls at the upstream at once
		 * @param heldTokens the tokens of engine memory held for programs
		 * @param warmPrefixes the digests of histories that are warm, newest first,
		 * bounded
		 */
		public LoadReport {
			warmPrefixes = List.copyOf(warmPrefixes);
		}

	}

	/**
	 * The announcement that a sidecar leaves: it takes no new work.
	 */
	record Draining() implements FromSidecar {

	}

	/**
	 * The state and history of a program.
	 *
	 * @param program the program
	 * @param epoch the epoch of its home
	 * @param lastCall the number of its last turn, or 0
	 * @param pendingTurns the turns not yet in the log
	 * @param ended why it ended, if it has
	 * @param messages its history, each message a JSON object
	 */
	record ProgramView(ProgramId program, Epoch epoch, int lastCall, int pendingTurns, Optional<EndReason> endReason,
			List<String> messages) {

		/**
		 * Creates a view.
		 * @param program the program
		 * @param epoch the epoch of its home
		 * @param lastCall the number of its last turn, or 0
		 * @param pendingTurns the turns not yet in the log
		 * @param ended why it ended, if it has
		 * @param messages its history, each message a JSON object
		 */
		public ProgramView {
			messages = List.copyOf(messages);
		}

	}

}
