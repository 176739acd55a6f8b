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
 * A request of a caller that has no answer yet. The verdict is the worst over its
 * attempts. Immutable and safe for use by several threads.
 *
 * @param ticket the request
 * @param request what is asked
 * @param route how the sidecar that runs it is found
 * @param arrived when it arrived
 * @param deadline when the caller gives up
 * @param phase where it is
 * @param delivered the text that the caller has
 * @param verdict what is known of its execution so far
 * @param attempts how often it was sent
 * @param queueing the time it waited beside the upstream
 * @param firstToken when the caller got the first text, if it has
 * @param arrivalRound how often this entry had read all of the log when the call arrived
 */
record Call(Ticket ticket, CallRequest request, Route route, Instant arrived, Instant deadline, Phase phase,
		Transcript delivered, Verdict verdict, int attempts, Duration queueing, Optional<Instant> firstToken,
		long arrivalRound) {

	static Call of(Ticket ticket, CallRequest request, Route route, Instant arrived, Instant deadline, long round) {
		return new Call(ticket, request, route, arrived, deadline, new Phase.Waiting(), Transcript.of(""),
				Verdict.NOT_RUN, 0, Duration.ZERO, Optional.empty(), round);
	}

	/**
	 * Returns when the entry ends the call by itself.
	 * @return a time a little after the deadline
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
	 * Where a call is.
	 */
	sealed interface Phase {

		/**
		 * It waits for the log or for a link.
		 */
		record Waiting() implements Phase {

		}

		/**
		 * It waits for a slice of the budget of its group.
		 */
		record Reserving() implements Phase {

		}

		/**
		 * It is not sent, and waits for what the log says of its verdict.
		 *
		 * @param failure why it is not sent
		 */
		record RefusalPending(CallFailure failure) implements Phase {

		}

		/**
		 * It was sent to a sidecar.
		 *
		 * @param attempt the attempt
		 * @param sidecar the sidecar
		 * @param epoch the epoch of the home, or none if it was not sent to a home
		 * @param sequence the number of the next part of the answer
		 */
		record Sent(AttemptId attempt, ProcessId sidecar, Epoch epoch, int nextSequence) implements Phase {

			Sent withNextSequence() {
				return new Sent(this.attempt, this.sidecar, this.epoch, this.nextSequence + 1);
			}

		}

	}

}
