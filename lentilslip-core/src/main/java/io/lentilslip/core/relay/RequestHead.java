package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller's request says of itself, decoded. Immutable and safe for use by several
 * threads.
 *
 * @param id the id of this attempt of the caller
 * @param host the host, without a port
 * @param path the path, without a query
 * @param callerTimeout how long the caller waits; empty if it doesn't say
 * @param turn what it says as a turn of a program
 * @param prompt the parts of its prompt, in order
 * @param promptTokens the tokens of its prompt
 * @param lastEvent the last event that the caller has of an earlier attempt
 * @param affinityKey names the object that the request is about; requests about one
 * object share it
 * @param origin where it comes from
 */
public record RequestHead(String id, String host, String path, Optional<Duration> callerTimeout, Optional<Turn> turn,
		List<PromptPart> prompt, int promptTokens, OptionalLong lastEvent, Optional<String> affinityKey,
		Origin origin) {

	/**
	 * Creates a head.
	 * @param id the id of this attempt of the caller
	 * @param host the host, without a port
	 * @param path the path, without a query
	 * @param callerTimeout how long the caller waits; empty if it doesn't say
	 * @param turn what it says as a turn of a program
	 * @param prompt the parts of its prompt, in order
	 * @param promptTokens the tokens of its prompt
	 * @param lastEvent the last event that the caller has of an earlier attempt
	 * @param affinityKey names the object that the request is about; requests about one
	 * object share it
	 * @param origin where it comes from
	 */
	public RequestHead {
		prompt = List.copyOf(prompt);
	}

	/**
	 * Returns the program that the request is part of.
	 * @return the program, or empty if it is part of none
	 */
	public Optional<String> program() {
		return this.origin.program();
	}

	/**
	 * Returns the head as that of a team's request: its program, the turn that it
	 * continues from and its object are those of the team, and of no other team that
	 * gives them the same names. The id stays, since upstreams and operators know it.
	 * @param team the team
	 * @return the head
	 */
	RequestHead scopedTo(Team team) {
		return new RequestHead(this.id, this.host, this.path, this.callerTimeout,
				this.turn.map((known) -> new Turn(team.scopedId(known.program()), known.budget(), known.maxTokens(),
						known.previous().map(team::scopedId))),
				this.prompt, this.promptTokens, this.lastEvent, this.affinityKey.map(team::scopedId),
				new Origin(this.origin.program().map(team::scopedId), this.origin.key()));
	}

	/**
	 * Immutable view of where a request comes from.
	 *
	 * @param program the program that it is part of
	 * @param key the digest of its API key; empty if it has none or none that can be read
	 */
	public record Origin(Optional<String> program, Optional<KeyDigest> key) {

		/**
		 * A request that says nothing of its origin.
		 */
		public static final Origin UNKNOWN = new Origin(Optional.empty(), Optional.empty());

	}

	/**
	 * What a request says as a turn of a program. Immutable.
	 *
	 * @param program the program
	 * @param budget the tokens that all turns of the program may generate; empty if there
	 * is no bound
	 * @param most the most tokens that this turn generates
	 * @param previous the turn that it continues from; empty at the start of a chain
	 */
	public record Turn(String program, OptionalLong budget, int maxTokens, Optional<String> previous) {

	}

}
