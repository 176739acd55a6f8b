package io.lentilslip.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.role.Transcript;
import io.lentilslip.core.verdict.Verdict;

/**
 * A caller's request that has not been answered. Immutable and safe for use by several
 * threads.
 *
 * @param ticket the identifier of the request
 * @param request the validated request
 * @param route how the sidecar is selected
 * @param arrived the arrival time
 * @param deadline the caller's deadline
 * @param phase the current phase
 * @param delivered the text already sent to the caller
 * @param verdict the least favorable verdict over the attempts so far
 * @param attempts the number of attempts
 * @param queueing the time spent queued at sidecars
 * @param firstToken when the first text was sent to the caller, if any was
 * @param arrivalRound the number of complete reads of the log before the call arrived
 */
record Call(Ticket ticket, CallRequest request, Route route, Instant arrived, Instant deadline, Phase phase,
		Transcript delivered, Verdict verdict, int attempts, Duration queueing, Optional<Instant> firstToken,
		long arrivalRound) {

	static Call of(Ticket ticket, CallRequest request, Route route, Instant arrived, Instant deadline, long round) {
		return new Call(ticket, request, route, arrived, deadline, new Phase.Waiting(), Transcript.of(""),
				Verdict.NOT_RUN, 0, Duration.ZERO, Optional.empty(), round);
	}

	/**
	 * Returns when the entry expires the call.
	 * @return the deadline with its grace period
	 */
	Instant expiresAt() {
		return this.deadline.plus(RouteRules.DEADLINE_GRACE);
	}

	Call withPhase(Phase next) {
		int made = (next instanceof Phase.Sent && !(this.phase instanceof Phase.Sent)) ? this.attempts + 1
				: this.attempts;
		return new Call(this.ticket, this.request, this.route, this.arrived, this.deadline, next, this.delivered,
				this.verdict, made, this.queueing, this.firstToken, this.arrivalRound);
	}

	Call withVerdict(Verdict latest) {
		return new Call(this.ticket, this.request, this.route, this.arrived, this.deadline, this.phase, this.delivered,
				this.verdict.combine(latest), this.attempts, this.queueing, this.firstToken, this.arrivalRound);
	}

	Call withQueueing(Duration waited) {
		return new Call(this.ticket, this.request, this.route, this.arrived, this.deadline, this.phase, this.delivered,
				this.verdict, this.attempts, this.queueing.plus(waited), this.firstToken, this.arrivalRound);
	}

	Call withText(String text, Instant now) {
		return new Call(this.ticket, this.request, this.route, this.arrived, this.deadline, this.phase,
				this.delivered.with(text), this.verdict, this.attempts, this.queueing,
				Optional.of(this.firstToken.orElse(now)), this.arrivalRound);
	}

	/**
	 * Phase of a call.
	 */
	sealed interface Phase {

		/**
		 * Waiting for the log or a link.
		 */
		record Waiting() implements Phase {

		}

		/**
		 * Waiting for a slice of the group's budget.
		 */
		record Reserving() implements Phase {

		}

		/**
		 * Waiting for the log to establish whether another entry sent the call before it
		 * is refused.
		 *
		 * @param failure the reason of the refusal
		 */
		record RefusalPending(CallFailure failure) implements Phase {

		}

		/**
		 * Sent to a sidecar.
		 *
		 * @param attempt the attempt
		 * @param sidecar the sidecar
		 * @param epoch the epoch of the home, or {@link Epoch#NONE} if it was not sent to
		 * a home
		 * @param nextSequence the expected sequence number of the next delta
		 */
		record Sent(AttemptId attempt, ProcessId sidecar, Epoch epoch, int nextSequence) implements Phase {

			Sent withNextSequence() {
				return new Sent(this.attempt, this.sidecar, this.epoch, this.nextSequence + 1);
			}

		}

	}

}
