package io.lentilslip.core.entry;

import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ServiceName;

/**
 * Model or service required by a call. Implementations are immutable and safe for use by
 * several threads.
 */
sealed interface Target {

	/**
	 * Returns the target of a call.
	 * @param call the call
	 * @return the target
	 */
	static Target of(CallRequest call) {
		return switch (call) {
			case CallRequest.ForModel request -> new ForModel(request.model());
			case CallRequest.ForService request -> new ForService(request.service());
		};
	}

	/**
	 * A model served by an engine.
	 *
	 * @param model the model
	 */
	record ForModel(ModelName model) implements Target {

	}

	/**
	 * A service.
	 *
	 * @param service the service
	 */
	record ForService(ServiceName service) implements Target {

	}

}
