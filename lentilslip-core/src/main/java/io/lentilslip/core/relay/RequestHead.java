package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Immutable view of the decoded head of a caller's request. Safe for use by several
 * threads.
 *
 * @param id the request id, unique for each attempt of the caller
 * @param host the host, without a port
 * @param path the path, without a query
 * @param callerTimeout how long the caller waits for the response; empty if unspecified
 * @param turn the turn, if the request is one of a program
 * @param prompt the parts of its prompt, in order
 * @param promptTokens the number of tokens of its prompt
 * @param resumption the stream that the request resumes, if it does
 * @param affinityKey the object that the request concerns, the same for all requests
 * about it
 * @param origin the program and API key that the request comes from
 */
public record RequestHead(String id, String host, String path, Optional<Duration> callerTimeout, Optional<Turn> turn,
		List<PromptPart> prompt, int promptTokens, Optional<Resumption> resumption, Optional<String> affinityKey,
		Origin origin) {

	/**
	 * The maximum number of parts of a prompt; the first ones guide the selection.
	 */
	static final int MAX_PROMPT_PARTS = 1024;

	/**
	 * Creates a head.
	 * @param id the request id, unique for each attempt of the caller
	 * @param host the host, without a port
	 * @param path the path, without a query
	 * @param callerTimeout how long the caller waits for the response; empty if
	 * unspecified
	 * @param turn the turn, if the request is one of a program
	 * @param prompt the parts of its prompt, in order
	 * @param promptTokens the number of tokens of its prompt
	 * @param resumption the stream that the request resumes, if it does
	 * @param affinityKey the object that the request concerns, the same for all requests
	 * about it
	 * @param origin the program and API key that the request comes from
	 */
	public RequestHead {
		prompt = List.copyOf(prompt);
	}

	/**
	 * Returns the program that the request belongs to.
	 * @return the program, or empty if there is none
	 */
	public Optional<String> program() {
		return this.origin.program();
	}

	/**
	 * Returns a copy in which what outlives the request is bounded: the length of names,
	 * and the parts of the prompt, which only guide the selection of an upstream.
	 * @return the copy
	 */
	public RequestHead bounded() {
		return new RequestHead(BoundedName.of(this.id), this.host, this.path, this.callerTimeout,
				this.turn.map((turn) -> new Turn(BoundedName.of(turn.program()), turn.budget(), turn.maxTokens(),
						turn.previous().map(BoundedName::of))),
				this.prompt.stream().filter((part) -> part.tokens() > 0).limit(MAX_PROMPT_PARTS).toList(),
				this.promptTokens,
				this.resumption
					.map((resumed) -> new Resumption(resumed.lastEvent(), resumed.request().map(BoundedName::of))),
				this.affinityKey, new Origin(this.origin.program().map(BoundedName::of), this.origin.key()));
	}

	/**
	 * Returns a copy whose program, previous turn, resumed request and affinity key are
	 * scoped to a team, so that equal names of other teams refer to other objects. The
	 * request id is unchanged, since upstreams and operators use it.
	 * @param team the team
	 * @return the scoped head
	 */
	RequestHead scopedTo(Team team) {
		return new RequestHead(this.id, this.host, this.path, this.callerTimeout,
				this.turn.map((turn) -> new Turn(team.scopedId(turn.program()), turn.budget(), turn.maxTokens(),
						turn.previous().map(team::scopedId))),
				this.prompt, this.promptTokens,
				this.resumption
					.map((resumed) -> new Resumption(resumed.lastEvent(), resumed.request().map(team::scopedId))),
				this.affinityKey.map(team::scopedId),
				new Origin(this.origin.program().map(team::scopedId), this.origin.key()));
	}

	/**
	 * Immutable view of a request as the continuation of a stream.
	 *
	 * @param lastEvent the number of the last event that the caller received
	 * @param request the caller's attempt that received the first event; empty if the
	 * caller does not name it
	 */
	public record Resumption(long lastEvent, Optional<String> request) {

	}

	/**
	 * Immutable view of the origin of a request.
	 *
	 * @param program the program that the request belongs to
	 * @param key the digest of its API key; empty if there is none or it is unreadable
	 */
	public record Origin(Optional<String> program, Optional<KeyDigest> key) {

		/**
		 * The origin of a request without a program or an API key.
		 */
		public static final Origin UNKNOWN = new Origin(Optional.empty(), Optional.empty());

	}

	/**
	 * Immutable view of a request as the turn of a program.
	 *
	 * @param program the program
	 * @param budget the tokens that all turns of the program may generate together; empty
	 * if unlimited
	 * @param maxTokens the maximum number of tokens that this turn may generate
	 * @param previous the turn that this one continues; empty for the first turn of a
	 * chain
	 */
	public record Turn(String program, OptionalLong budget, int maxTokens, Optional<String> previous) {

	}

}
