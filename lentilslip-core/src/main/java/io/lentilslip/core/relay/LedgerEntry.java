package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Entry of the ledger that relays share: appended to the platform's log, and replicated
 * directly to the replicas of the program. Applying entries is idempotent and independent
 * of their order, since both ways deliver the same entries. Immutable and safe for use by
 * several threads.
 */
public sealed interface LedgerEntry {

	/**
	 * Returns the run of the entry.
	 * @return the run, or the program if the entry concerns all of its turns
	 */
	RunId run();

	/**
	 * Returns the request of the entry.
	 * @return the id of the caller's attempt, or of the program if the entry concerns all
	 * of its turns
	 */
	default String request() {
		return run().request();
	}

	/**
	 * Returns the program of the entry.
	 * @return the program, or empty if the entry belongs to none
	 */
	default Optional<String> findProgram() {
		return switch (this) {
			case Reserved reserved -> Optional.of(reserved.program());
			case Settled settled -> Optional.of(settled.program());
			case UsageRenewed renewed -> Optional.of(renewed.program());
			case UpstreamFailed ignored -> Optional.empty();
		};
	}

	/**
	 * Reserves the maximum tokens of a turn in its program's budget before the turn runs.
	 *
	 * @param run the run
	 * @param program the program
	 * @param maxTokens the maximum tokens that the turn generates
	 * @param upstream the incarnation of the upstream; empty if the reservation is
	 * conditional
	 * @param prompt the prompt parts that the upstream has cached after the turn
	 * @param conditional whether the turn runs only if the budget admits it at this
	 * position in the log; otherwise it is already admitted
	 * @param stream the attempt that was sent, if the turn is a stream that can be
	 * resumed
	 */
	record Reserved(RunId run, String program, int maxTokens, String upstream, List<PromptPart> prompt,
			boolean conditional, Optional<StreamAttempt> stream) implements LedgerEntry {

		/**
		 * Creates an entry.
		 * @param run the run
		 * @param program the program
		 * @param maxTokens the maximum tokens that the turn generates
		 * @param upstream the incarnation of the upstream; empty if the reservation is
		 * conditional
		 * @param prompt the prompt parts that the upstream has cached after the turn
		 * @param conditional whether the turn runs only if the budget admits it at this
		 * position in the log; otherwise it is already admitted
		 * @param stream the attempt that was sent, if the turn is a stream that can be
		 * resumed
		 */
		public Reserved {
			prompt = List.copyOf(prompt);
		}

		/**
		 * Creates an entry of a turn that is no stream that can be resumed.
		 * @param run the run
		 * @param program the program
		 * @param maxTokens the maximum tokens that the turn generates
		 * @param upstream the incarnation of the upstream; empty if the reservation is
		 * conditional
		 * @param prompt the prompt parts that the upstream has cached after the turn
		 * @param conditional whether the turn runs only if the budget admits it at this
		 * position in the log; otherwise it is already admitted
		 */
		public Reserved(RunId run, String program, int maxTokens, String upstream, List<PromptPart> prompt,
				boolean conditional) {
			this(run, program, maxTokens, upstream, prompt, conditional, Optional.empty());
		}

	}

	/**
	 * Settles a turn that has ended.
	 *
	 * @param run the run
	 * @param program the program
	 * @param tokens the tokens that were delivered to the caller
	 * @param textLocation the location of the turn's text; empty if later turns can't
	 * continue from it
	 */
	record Settled(RunId run, String program, int tokens, Optional<TextLocation> textLocation) implements LedgerEntry {

		/**
		 * Returns whether this repeats an entry that is about to expire.
		 * @return whether it does
		 */
		public boolean renewal() {
			return this.textLocation.filter(TextLocation::renewed).isPresent();
		}

	}

	/**
	 * Repeats the usage of a program, whose entries are about to expire.
	 *
	 * @param program the program
	 * @param turns the tokens of its turns, by run
	 * @param retention for how long after the append the usage is retained
	 */
	record UsageRenewed(String program, Map<RunId, TurnTokens> turns, Duration retention) implements LedgerEntry {

		/**
		 * Creates an entry.
		 * @param program the program
		 * @param turns the tokens of its turns, by run
		 * @param retention for how long after the append the usage is retained
		 */
		public UsageRenewed {
			turns = Map.copyOf(turns);
		}

		@Override
		public RunId run() {
			return RunId.unnumbered(this.program);
		}

	}

	/**
	 * Records that an upstream failed while it ran a request, or takes that back. A relay
	 * of an earlier version reads the latter as a failure that it knows already.
	 *
	 * @param run the run; its request is empty if the failure is taken back
	 * @param digest the digest of the request's content, equal for all retries, or of its
	 * target
	 * @param upstream the incarnation of the upstream
	 */
	record UpstreamFailed(RunId run, long digest, String upstream) implements LedgerEntry {

		/**
		 * Creates an entry that does not name the run, as those of earlier versions.
		 * @param request the id of the caller's attempt; empty if the failure is taken
		 * back
		 * @param digest the digest of the request's content or of its target
		 * @param upstream the incarnation of the upstream
		 */
		public UpstreamFailed(String request, long digest, String upstream) {
			this(RunId.unnumbered(request), digest, upstream);
		}

		/**
		 * Returns an entry that takes a failure back.
		 * @param digest the digest that the failure counts for
		 * @param upstream the incarnation of the upstream
		 * @return the entry
		 */
		public static UpstreamFailed takenBack(long digest, String upstream) {
			return new UpstreamFailed("", digest, upstream);
		}

		/**
		 * Returns whether an answer has shown that the request did not cause the failure.
		 * @return whether it has
		 */
		public boolean isTakenBack() {
			return request().isEmpty();
		}

	}

}
