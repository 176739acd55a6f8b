package io.lentilslip.core.call;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.IdempotencyKey;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ServiceName;

/**
 * Call of an authenticated caller. Implementations are immutable and thread-safe.
 */
public sealed interface CallRequest {

	/**
	 * Returns the group the call is charged to.
	 * @return the group
	 */
	GroupName group();

	/**
	 * Returns the program and number of the call, if it belongs to a program.
	 * @return the program call, or an empty result
	 */
	Optional<ProgramCall> programCall();

	/**
	 * Returns the key that identifies retries of this call.
	 * @return the idempotency key, or an empty result
	 */
	Optional<IdempotencyKey> idempotencyKey();

	/**
	 * Returns the digest of the request content, which distinguishes a retry from another
	 * request with the same key or number.
	 * @return the digest of the content
	 */
	Digest contentDigest();

	/**
	 * Call of a model.
	 *
	 * @param group the group the call is charged to
	 * @param programCall the program and number of the call, if it belongs to a program
	 * @param idempotencyKey the key that identifies retries, if the caller sent one
	 * @param contentDigest the digest of the request content
	 * @param model the model
	 * @param mode how the messages relate to the history
	 * @param messages the messages, each a JSON object in canonical form
	 * @param maxTokens the maximum number of tokens to generate
	 * @param parameters the other fields of the request as a JSON object
	 * @param streamed whether the response is streamed to the caller
	 */
	record ForModel(GroupName group, Optional<ProgramCall> programCall, Optional<IdempotencyKey> idempotencyKey,
			Digest contentDigest, ModelName model, HistoryMode mode, List<String> messages, int maxTokens,
			String parameters, boolean streamed) implements CallRequest {

		/**
		 * Creates a call of a model.
		 * @param group the group the call is charged to
		 * @param programCall the program and number of the call, if it belongs to a
		 * program
		 * @param idempotencyKey the key that identifies retries, if the caller sent one
		 * @param contentDigest the digest of the request content
		 * @param model the model
		 * @param mode how the messages relate to the history
		 * @param messages the messages, each a JSON object in canonical form
		 * @param maxTokens the maximum number of tokens to generate
		 * @param parameters the other fields of the request as a JSON object
		 * @param streamed whether the response is streamed to the caller
		 */
		public ForModel {
			messages = List.copyOf(messages);
		}

	}

	/**
	 * Call of a plain service.
	 *
	 * @param group the group the call is charged to
	 * @param programCall the program and number of the call, if it belongs to a program
	 * @param idempotencyKey the key that identifies retries, if the caller sent one
	 * @param contentDigest the digest of the request content
	 * @param service the service
	 * @param request the HTTP request to forward
	 * @param repeatable whether the configuration allows repeating the call
	 */
	record ForService(GroupName group, Optional<ProgramCall> programCall, Optional<IdempotencyKey> idempotencyKey,
			Digest contentDigest, ServiceName service, ServiceRequest request,
			boolean repeatable) implements CallRequest {

	}

}
