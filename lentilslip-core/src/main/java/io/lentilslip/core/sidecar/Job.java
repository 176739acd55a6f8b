package io.lentilslip.core.sidecar;

import java.time.Instant;
import java.util.List;

import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.role.Transcript;
import io.lentilslip.core.share.FairQueue;
import io.vavr.collection.Vector;

/**
 * A piece of work for the upstream, with everyone who waits for it. Immutable and safe
 * for use by several threads.
 *
 * @param key what identifies it
 * @param call the call to run
 * @param added the messages that the call adds to the history of its program
 * @param listeners the attempts that wait for its end
 * @param stage how far it is
 * @param transcript the text of the answer so far
 * @param prefix the text that was there before the upstream was asked
 * @param isolated whether nothing else may run at the upstream meanwhile
 * @param queueEntry its entry in the queue
 */
record Job(JobKey key, CallRequest call, List<String> added, Vector<Listener> listeners, Stage stage,
		Transcript transcript, String prefix, boolean isolated, FairQueue.Entry<JobKey, JobKey> queueEntry) {

	Job withListener(Listener listener) {
		return new Job(this.key, this.call, this.added, this.listeners.append(listener), this.stage, this.transcript,
				this.prefix, this.isolated, this.queueEntry);
	}

	Job withListeners(Vector<Listener> others) {
		return new Job(this.key, this.call, this.added, others, this.stage, this.transcript, this.prefix, this.isolated,
				this.queueEntry);
	}

	Job without(AttemptId attempt) {
		return withListeners(this.listeners.filter((listener) -> !listener.attempt().equals(attempt)));
	}

	Job withStage(Stage next) {
		return new Job(this.key, this.call, this.added, this.listeners, next, this.transcript, this.prefix,
				this.isolated, this.queueEntry);
	}

	Job withIsolation() {
		return new Job(this.key, this.call, this.added, this.listeners, this.stage, this.transcript, this.prefix, true,
				this.queueEntry);
	}

	Job withTranscript(Transcript longer, Vector<Listener> served) {
		return new Job(this.key, this.call, this.added, served, this.stage, longer, this.prefix, this.isolated,
				this.queueEntry);
	}

	/**
	 * How far a job is.
	 */
	sealed interface Stage {

		/**
		 * It waits for the upstream.
		 */
		record Queued() implements Stage {

		}

		/**
		 * The upstream works on it.
		 *
		 * @param run the request to the upstream
		 * @param since when the upstream was asked
		 */
		record Running(RunId run, Instant startedAt) implements Stage {

		}

		/**
		 * The upstream is done, and the outcome is on its way into the log.
		 *
		 * @param outcome the outcome
		 * @param overdue whether the log took too long and the listeners were told
		 */
		record Committing(CallOutcome outcome, boolean timedOut) implements Stage {

		}

	}

}
