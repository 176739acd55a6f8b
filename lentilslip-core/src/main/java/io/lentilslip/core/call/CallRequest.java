package io.lentilslip.core.call;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.IdempotencyKey;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ServiceName;

/**
 * A call of a caller whose group is known. Implementations are immutable and safe for use
 * by several threads.
 */
public sealed interface CallRequest {

	/**
	 * Returns the group the call is charged to.
	 * @return the group
	 */
	GroupName group();

	/**
	 * Returns the place of the call in a program, if it belongs to one.
	 * @return the place in a program, or an empty result
	 */
	Optional<ProgramCall> programCall();

	/**
	 * Returns the key that marks resends of this call.
	 * @return the key, or an empty result
	 */
	Optional<IdempotencyKey> idempotencyKey();

	/**
	 * Returns the digest of what is asked, by which a resend is told from another request
	 * with the same key or number.
	 * @return the digest of the content
	 */
	Digest contentDigest();

	/**
	 * A call of a model.
	 *
	 * @param group the group the call is charged to
	 * @param programCall the place in a program, if it belongs to one
	 * @param idempotencyKey the key that marks resends, if the caller gave one
	 * @param contentDigest the digest of what is asked
	 * @param model the model
	 * @param mode how the messages relate to the history
	 * @param messages the messages, each a JSON object in canonical text
	 * @param maximumTokens the most tokens to generate
	 * @param parameters the further fields of the request, a JSON object
	 * @param streamed whether the caller wants the answer as it is generated
	 */
	record ForModel(GroupName group, Optional<ProgramCall> programCall, Optional<IdempotencyKey> idempotencyKey,
			Digest contentDigest, ModelName model, HistoryMode mode, List<String> messages, int maxTokens,
			String parameters, boolean streamed) implements CallRequest {

		/**
		 * Creates a call of a model.
		 * @param group the group the call is charged to
		 * @param programCall the place in a program, if it belongs to one
		 * @param idempotencyKey the key that marks resends, if the caller gave one
		 * @param contentDigest the digest of what is asked
		 * @param model the model
		 * @param mode how the messages relate to the history
		 * @param messages the messages, each a JSON object in canonical text
		 * @param maximumTokens the most tokens to generate
		 * @param parameters the further fields of the request, a JSON object
		 * @param streamed whether the caller wants the answer as it is generated
		 */
		public ForModel {
			messages = List.copyOf(messages);
		}

	}

	/**
	 * A call of a plain service.
	 *
	 * @param group the group the call is charged to
	 * @param programCall the place in a program, if it belongs to one
	 * @param idempotencyKey the key that marks resends, if the caller gave one
	 * @param contentDigest the digest of what is asked
	 * @param service the service
	 * @param message the HTTP request to pass on
	 * @param repeatable whether the configuration allows running the call again
	 */
	record ForService(GroupName group, Optional<ProgramCall> programCall, Optional<IdempotencyKey> idempotencyKey,
			Digest contentDigest, ServiceName service, ServiceRequest request,
			boolean repeatable) implements CallRequest {

	}

}
