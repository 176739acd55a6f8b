package io.lentilslip.client.engine;

import io.lentilslip.core.identity.ModelName;

/**
 * An order to an engine. All orders may be repeated. Immutable and safe for use by
 * several threads.
 */
public sealed interface EngineOrder {

	/**
	 * Load a version of a model.
	 *
	 * @param model the model
	 * @param version the version
	 */
	record Load(ModelName model, String version) implements EngineOrder {

	}

	/**
	 * Unload a model.
	 *
	 * @param model the model
	 */
	record Unload(ModelName model) implements EngineOrder {

	}

	/**
	 * Load an adapter beside a model.
	 *
	 * @param model the model
	 * @param adapter the adapter's name
	 */
	record Adapter(ModelName model, String adapter) implements EngineOrder {

	}

	/**
	 * Take another role.
	 *
	 * @param role the role's name
	 */
	record Role(String role) implements EngineOrder {

	}

	/**
	 * What came of an order.
	 */
	sealed interface Outcome {

		/**
		 * It was carried out.
		 */
		record Applied() implements Outcome {

		}

		/**
		 * It was not carried out, since its fencing number is old.
		 *
		 * @param highestFencing the highest number that the engine has seen
		 */
		record OldFencing(long highestFencing) implements Outcome {

		}

		/**
		 * There was no answer, or another error.
		 *
		 * @param failure what failed, and whether the order may have been carried out
		 */
		record Failed(EngineFailure failure) implements Outcome {

		}

	}

}
