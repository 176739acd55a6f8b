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
 * Immutable unit of work for the upstream, with the attempts that wait for its outcome.
 * Safe for use by several threads.
 *
 * @param key the identity of the job
 * @param call the call to run
 * @param added the messages that the call adds to the history of its program
 * @param listeners the attempts that wait for the outcome
 * @param stage the stage of processing
 * @param transcript the text of the answer received so far
 * @param prefix the text that the answer starts with, already delivered to the caller
 * @param isolated whether no other job may run at the upstream at the same time
 * @param queueEntry the job's entry in the queue
 */
record Job(JobKey key, CallRequest call, List<String> added, Vector<Listener> listeners, Stage stage,
		Transcript transcript, String prefix, boolean isolated, FairQueue.Entry<JobKey, JobKey> queueEntry) {

	Job withListener(Listener listener) {
		return new Job(this.key, this.call, this.added, this.listeners.append(listener), this.stage, this.transcript,
				this.prefix, this.isolated, this.queueEntry);
	}

	Job withListeners(Vector<Listener> newListeners) {
		return new Job(this.key, this.call, this.added, newListeners, this.stage, this.transcript, this.prefix,
				this.isolated, this.queueEntry);
	}

	Job without(AttemptId attempt) {
		return withListeners(this.listeners.filter((listener) -> !listener.attempt().equals(attempt)));
	}

	Job withStage(Stage newStage) {
		return new Job(this.key, this.call, this.added, this.listeners, newStage, this.transcript, this.prefix,
				this.isolated, this.queueEntry);
	}

	Job withIsolation() {
		return new Job(this.key, this.call, this.added, this.listeners, this.stage, this.transcript, this.prefix, true,
				this.queueEntry);
	}

	Job withTranscript(Transcript newTranscript, Vector<Listener> newListeners) {
		return new Job(this.key, this.call, this.added, newListeners, this.stage, newTranscript, this.prefix,
				this.isolated, this.queueEntry);
	}

	/**
	 * The stage of processing of a job.
	 */
	sealed interface Stage {

		/**
		 * The job is queued.
		 */
		record Queued() implements Stage {

		}

		/**
		 * The job is running at the upstream.
		 *
		 * @param run the request to the upstream
		 * @param startedAt when the request was sent
		 */
		record Running(RunId run, Instant startedAt) implements Stage {

		}

		/**
		 * The request has ended, and its outcome is not yet committed to the log.
		 *
		 * @param outcome the outcome
		 * @param timedOut whether the commit timed out and the outcome was sent without
		 * it
		 */
		record Committing(CallOutcome outcome, boolean timedOut) implements Stage {

		}

	}

}
