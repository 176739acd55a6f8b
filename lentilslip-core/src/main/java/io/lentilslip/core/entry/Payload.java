package io.lentilslip.core.entry;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.call.ServiceRequest;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ServiceName;

/**
 * Content of a caller's request before its group is resolved. Implementations are
 * immutable and safe for use by several threads.
 */
public sealed interface Payload {

	/**
	 * A model call.
	 *
	 * @param model the model
	 * @param mode how the messages relate to the history
	 * @param messages the messages, each a JSON object in canonical form
	 * @param maximumTokens the maximum number of tokens to generate, if the caller set it
	 * @param parameters the other fields of the request, a JSON object
	 * @param streamed whether the caller requested streaming
	 */
	record ForModel(ModelName model, HistoryMode mode, List<String> messages, Optional<Integer> maximumTokens,
			String parameters, boolean streamed) implements Payload {

		/**
		 * Creates a value.
		 * @param model the model
		 * @param mode how the messages relate to the history
		 * @param messages the messages, each a JSON object in canonical form
		 * @param maximumTokens the maximum number of tokens to generate, if the caller
		 * set it
		 * @param parameters the other fields of the request, a JSON object
		 * @param streamed whether the caller requested streaming
		 */
		public ForModel {
			messages = List.copyOf(messages);
		}

	}

	/**
	 * A service call.
	 *
	 * @param service the service
	 * @param message the HTTP request to forward
	 */
	record ForService(ServiceName service, ServiceRequest message) implements Payload {

	}

}
