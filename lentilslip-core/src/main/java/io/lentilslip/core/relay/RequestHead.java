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
 * @param patience how long the caller waits; empty if it doesn't say
 * @param turn what it says as a turn of a program
 * @param prompt the parts of its prompt, in order
 * @param promptTokens the tokens of its prompt
 * @param lastEvent the last event that the caller has of an earlier attempt
 * @param object names the object that the request is about; requests about one object
 * share it
 */
public record RequestHead(String id, String host, String path, Optional<Duration> patience, Optional<Turn> turn,
		List<PromptPart> prompt, int promptTokens, OptionalLong lastEvent, Optional<String> object) {

	/**
	 * Creates a head.
	 * @param id the id of this attempt of the caller
	 * @param host the host, without a port
	 * @param path the path, without a query
	 * @param patience how long the caller waits; empty if it doesn't say
	 * @param turn what it says as a turn of a program
	 * @param prompt the parts of its prompt, in order
	 * @param promptTokens the tokens of its prompt
	 * @param lastEvent the last event that the caller has of an earlier attempt
	 * @param object names the object that the request is about
	 * @param object names the object that the request is about; requests about one object
	 * share it
	 */
	public RequestHead {
		prompt = List.copyOf(prompt);
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
	public record Turn(String program, OptionalLong budget, int most, Optional<String> previous) {

	}

}
