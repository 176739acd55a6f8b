package io.lentilslip.core.relay;

import java.util.List;
import java.util.Optional;

/**
 * What relays write down for each other: once in the platform's log, and at once over the
 * links to those that keep the program. Taking an entry twice, or in another order, leads
 * to the same state, since both ways bring the same entries. Immutable and safe for use
 * by several threads.
 */
public sealed interface LedgerEntry {

	/**
	 * Returns the request that the entry is about.
	 * @return the id of the caller's attempt
	 */
	String request();

	/**
	 * Returns the program that the entry is about.
	 * @return the program, or empty if it is about none
	 */
	default Optional<String> findProgram() {
		return switch (this) {
			case Reserved reserved -> Optional.of(reserved.program());
			case Settled settled -> Optional.of(settled.program());
			case UpstreamFailed ignored -> Optional.empty();
		};
	}

	/**
	 * A turn is about to run, and its most tokens are held back from its program's
	 * budget.
	 *
	 * @param request the id of the caller's attempt
	 * @param program the program
	 * @param tokens the most tokens that the turn generates
	 * @param upstream the life of the upstream; empty while the turn contends
	 * @param prompt the parts of the prompt that the upstream then holds
	 * @param contending whether the turn runs only if the log's order leaves enough of
	 * the budget for it; otherwise it runs already
	 */
	record Reserved(String request, String program, int maxTokens, String upstream, List<PromptPart> prompt,
			boolean conditional) implements LedgerEntry {

		/**
		 * Creates an entry.
		 * @param request the id of the caller's attempt
		 * @param program the program
		 * @param tokens the most tokens that the turn generates
		 * @param upstream the life of the upstream
		 * @param prompt the parts of the prompt that the upstream then holds
		 * @param contending whether the turn runs only if the log's order leaves enough
		 * of the budget for it; otherwise it runs already
		 */
		public Reserved {
			prompt = List.copyOf(prompt);
		}

	}

	/**
	 * A turn is over.
	 *
	 * @param request the id of the caller's attempt
	 * @param program the program
	 * @param tokens the tokens that the caller was given
	 * @param text where the turn's text is, if later turns may continue from it
	 */
	record Settled(String request, String program, int tokens,
			Optional<TextLocation> textLocation) implements LedgerEntry {

	}

	/**
	 * An upstream broke off while it ran a request.
	 *
	 * @param request the id of the caller's attempt
	 * @param digest the digest of the request's content, the same for each resend
	 * @param upstream the life of the upstream
	 */
	record UpstreamFailed(String request, long digest, String upstream) implements LedgerEntry {

	}

}
