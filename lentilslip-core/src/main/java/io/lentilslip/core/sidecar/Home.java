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
 * A program whose home is this sidecar. Turns are numbered from 1 without a gap; those
 * after the first {@code committed} are not yet in the log. Immutable and safe for use by
 * several threads.
 *
 * @param program the program
 * @param epoch the epoch of the home
 * @param ready whether the history has been read
 * @param turns the history
 * @param committed the number of turns in the log
 * @param appending whether a turn is on its way into the log
 * @param active the job of the turn that waits or runs
 * @param waiting the attempts whose turn has not come
 * @param lastUsed when the program was last active
 * @param expires when the program has lived as long as it may
 */
record Home(ProgramId program, Epoch epoch, boolean ready, Vector<Turn> turns, int committed, boolean appending,
		Optional<JobKey> active, Vector<Arrival> waiting, Instant lastUsed, Instant expires) {

	static Home of(ProgramId program, Epoch epoch, boolean ready, Instant now, Instant expires) {
		return new Home(program, epoch, ready, Vector.empty(), 0, false, Optional.empty(), Vector.empty(), now,
				expires);
	}

	Home withHistory(Vector<Turn> read) {
		return new Home(this.program, this.epoch, true, read, read.size(), false, this.active, this.waiting,
				this.lastUsed, this.expires);
	}

	Home inEpoch(Epoch newer) {
		return new Home(this.program, newer, this.ready, this.turns, this.committed, false, this.active, this.waiting,
				this.lastUsed, this.expires);
	}

	Home withTurn(Turn turn, Instant now) {
		return new Home(this.program, this.epoch, this.ready, this.turns.append(turn), this.committed, this.appending,
				Optional.empty(), this.waiting, now, this.expires);
	}

	Home withCommitted(int number) {
		return new Home(this.program, this.epoch, this.ready, this.turns, number, false, this.active, this.waiting,
				this.lastUsed, this.expires);
	}

	Home whileAppending(boolean value) {
		return new Home(this.program, this.epoch, this.ready, this.turns, this.committed, value, this.active,
				this.waiting, this.lastUsed, this.expires);
	}

	Home withActive(Optional<JobKey> job, Instant now) {
		return new Home(this.program, this.epoch, this.ready, this.turns, this.committed, this.appending, job,
				this.waiting, now, this.expires);
	}

	Home withWaiting(Vector<Arrival> arrivals) {
		return new Home(this.program, this.epoch, this.ready, this.turns, this.committed, this.appending, this.active,
				arrivals, this.lastUsed, this.expires);
	}

	/**
	 * Returns the number of the turn that comes next.
	 * @return the number
	 */
	int next() {
		return this.turns.size() + 1;
	}

	/**
	 * Returns the number of turns that are not yet in the log.
	 * @return the number of turns
	 */
	int pending() {
		return this.turns.size() - this.committed;
	}

	/**
	 * Returns the first turn that is not yet in the log.
	 * @return the turn, or an empty result
	 */
	Optional<Turn> firstPending() {
		return (pending() > 0) ? Optional.of(this.turns.get(this.committed)) : Optional.empty();
	}

	/**
	 * Returns the turn that a resent call asked for before.
	 * @param call the call
	 * @return the turn with the same key or number, or the last one if it has the same
	 * content and the call has neither
	 */
	Optional<Turn> turnOf(CallRequest call) {
		Optional<Integer> number = call.programCall().flatMap(ProgramCall::number);
		if (number.isPresent()) {
			return (number.get() < next()) ? Optional.of(this.turns.get(number.get() - 1)) : Optional.empty();
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
