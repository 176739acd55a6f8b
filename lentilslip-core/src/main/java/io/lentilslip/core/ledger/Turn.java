package io.lentilslip.core.ledger;

import java.util.List;

import io.lentilslip.core.call.Answer;
import io.lentilslip.core.identity.Digest;

/**
 * One turn of a program: what a call added to the history and what the model answered.
 * Immutable and safe for use by several threads.
 *
 * @param number the number of the call, from 1
 * @param content the digest of what the call asked
 * @param messages the messages that the call added, each a JSON object
 * @param answer the answer
 */
public record Turn(int number, Digest content, List<String> messages, Answer.FromModel answer) {

	/**
	 * Creates a turn.
	 * @param number the number of the call, from 1
	 * @param content the digest of what the call asked
	 * @param messages the messages that the call added, each a JSON object
	 * @param answer the answer
	 */
	public Turn {
		messages = List.copyOf(messages);
	}

}
