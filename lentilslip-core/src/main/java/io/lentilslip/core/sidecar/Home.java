package io.lentilslip.core.sidecar;

import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.ProgramCall;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.Turn;
import io.vavr.collection.Vector;

/**
 * Immutable state of a program whose home is this sidecar. Turns are numbered from 1
 * without gaps; those after the first {@code committed} are not yet committed to the log.
 * Safe for use by several threads.
 *
 * @param program the program
 * @param epoch the epoch of the home
 * @param ready whether the history has been read from the log
 * @param turns the turns of the history
 * @param committed the number of committed turns
 * @param appending whether the append of a turn is in flight
 * @param activeJob the queued or running job of the next turn
 * @param waiting the attempts that wait for a preceding call
 * @param lastUsedAt when the program was last active
 * @param expiresAt when the program reaches its lifetime
 */
record Home(ProgramId program, Epoch epoch, boolean ready, Vector<Turn> turns, int committed, boolean appending,
		Optional<JobKey> activeJob, Vector<IncomingAttempt> waiting, Instant lastUsedAt, Instant expiresAt) {

	static Home of(ProgramId program, Epoch epoch, boolean ready, Instant now, Instant expires) {
		return new Home(program, epoch, ready, Vector.empty(), 0, false, Optional.empty(), Vector.empty(), now,
				expires);
	}

	Home withHistory(Vector<Turn> history) {
		return new Home(this.program, this.epoch, true, history, history.size(), false, this.activeJob, this.waiting,
				this.lastUsedAt, this.expiresAt);
	}

	Home withEpoch(Epoch newEpoch) {
		return new Home(this.program, newEpoch, this.ready, this.turns, this.committed, false, this.activeJob,
				this.waiting, this.lastUsedAt, this.expiresAt);
	}

	Home withTurn(Turn turn, Instant now) {
		return new Home(this.program, this.epoch, this.ready, this.turns.append(turn), this.committed, this.appending,
				Optional.empty(), this.waiting, now, this.expiresAt);
	}

	Home withCommitted(int number) {
		return new Home(this.program, this.epoch, this.ready, this.turns, number, false, this.activeJob, this.waiting,
				this.lastUsedAt, this.expiresAt);
	}

	Home withAppending(boolean value) {
		return new Home(this.program, this.epoch, this.ready, this.turns, this.committed, value, this.activeJob,
				this.waiting, this.lastUsedAt, this.expiresAt);
	}

	Home withActive(Optional<JobKey> job, Instant now) {
		return new Home(this.program, this.epoch, this.ready, this.turns, this.committed, this.appending, job,
				this.waiting, now, this.expiresAt);
	}

	Home withWaiting(Vector<IncomingAttempt> attempts) {
		return new Home(this.program, this.epoch, this.ready, this.turns, this.committed, this.appending,
				this.activeJob, attempts, this.lastUsedAt, this.expiresAt);
	}

	/**
	 * Returns the number of the next turn.
	 * @return the number
	 */
	int nextNumber() {
		return this.turns.size() + 1;
	}

	/**
	 * Returns the number of uncommitted turns.
	 * @return the number of turns
	 */
	int pendingCount() {
		return this.turns.size() - this.committed;
	}

	/**
	 * Returns the first uncommitted turn.
	 * @return the turn, or an empty result
	 */
	Optional<Turn> firstPending() {
		return (pendingCount() > 0) ? Optional.of(this.turns.get(this.committed)) : Optional.empty();
	}

	/**
	 * Returns the turn that already answers a call.
	 * @param call the call
	 * @return the turn with the same number or key; for a call with neither, the last
	 * turn if it has the same content
	 */
	Optional<Turn> findTurn(CallRequest call) {
		Optional<Integer> number = call.programCall().flatMap(ProgramCall::number);
		if (number.isPresent()) {
			return (number.get() < nextNumber()) ? Optional.of(this.turns.get(number.get() - 1)) : Optional.empty();
		}
		if (call.idempotencyKey().isPresent()) {
			return this.turns.find((turn) -> turn.key().equals(call.idempotencyKey())).toJavaOptional();
		}
		return this.turns.lastOption().filter((turn) -> turn.content().equals(call.contentDigest())).toJavaOptional();
	}

	/**
	 * Returns the whole history.
	 * @return the messages of all turns, each a JSON object
	 */
	Vector<String> messages() {
		return this.turns.flatMap((turn) -> Vector.ofAll(turn.messages()).append(turn.answer().message()));
	}

}
