package io.lentilslip.core.ledger;

import java.time.Instant;
import java.util.Optional;

import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;

/**
 * Immutable state of a program, derived from the log. Its size does not depend on the
 * number of turns. Safe for use by several threads.
 *
 * @param epoch the epoch of the home
 * @param home the sidecar that is the home
 * @param parent the program whose sub-agent this one is, if there is one
 * @param createdAt the log's time of the first claim
 * @param claimPosition the position of the current epoch's claim in the log
 * @param lastCall the number of the last committed turn, or 0
 * @param lastTurnPosition the position of the last turn in the log, if there is one
 * @param lastActiveAt the log's time of the last turn, or of the first claim
 * @param historyTokens the tokens of the history after the last turn, prompt and answer
 * @param endReason why the program ended, if it has
 */
public record ProgramState(Epoch epoch, ProcessId home, Optional<ProgramId> parent, Instant createdAt,
		Position claimPosition, int lastCall, Optional<Position> lastTurnPosition, Instant lastActiveAt,
		long historyTokens, Optional<EndReason> endReason) {

	ProgramState withHome(ProcessId newHome, Epoch newEpoch, Position position) {
		return new ProgramState(newEpoch, newHome, this.parent, this.createdAt, position, this.lastCall,
				this.lastTurnPosition, this.lastActiveAt, this.historyTokens, this.endReason);
	}

	ProgramState withTurn(Turn turn, Position position, Instant time) {
		return new ProgramState(this.epoch, this.home, this.parent, this.createdAt, this.claimPosition, turn.number(),
				Optional.of(position), time, turn.answer().usage().total(), this.endReason);
	}

	ProgramState withEndReason(EndReason reason) {
		return new ProgramState(this.epoch, this.home, this.parent, this.createdAt, this.claimPosition, this.lastCall,
				this.lastTurnPosition, this.lastActiveAt, this.historyTokens, Optional.of(reason));
	}

}
