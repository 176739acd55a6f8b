package io.lentilslip.core.ledger;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.IdempotencyKey;

/**
 * One turn of a program: what a call added to the history and what the model answered.
 * Immutable and safe for use by several threads.
 *
 * @param number the number of the call, from 1
 * @param content the digest of what the call asked
 * @param key the idempotency key of the call, if it had one
 * @param messages the messages that the call added, each a JSON object
 * @param answer the answer
 */
public record Turn(int number, Digest content, Optional<IdempotencyKey> key, List<String> messages,
		CallResponse.FromModel answer) {

	/**
	 * Creates a turn.
	 * @param number the number of the call, from 1
	 * @param content the digest of what the call asked
	 * @param key the idempotency key of the call, if it had one
	 * @param messages the messages that the call added, each a JSON object
	 * @param answer the answer
	 */
	public Turn {
		messages = List.copyOf(messages);
	}

}
