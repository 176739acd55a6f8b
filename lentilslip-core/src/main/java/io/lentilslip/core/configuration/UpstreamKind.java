package io.lentilslip.core.configuration;

import java.util.Set;
import java.util.TreeSet;

import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ServiceName;

/**
 * What an upstream is: a model engine or plain services. Immutable and safe for use by
 * several threads.
 */
public sealed interface UpstreamKind {

	/**
	 * An upstream that is a model engine.
	 *
	 * @param models the models the engine serves
	 * @param checksFencingNumbers whether the engine refuses an order that carries an old
	 * fencing number; where it does not, the sidecar has to
	 * @param kvTokens the tokens whose KV cache fits in the engine's memory
	 */
	record ForEngine(Set<ModelName> models, boolean checksFencingNumbers, long kvTokens) implements UpstreamKind {

		/**
		 * Creates a description of an engine.
		 * @param models the models the engine serves
		 * @param checksFencingNumbers whether the engine refuses old fencing numbers
		 * @param kvTokens the tokens whose KV cache fits in the engine's memory
		 * @throws IllegalArgumentException if there is no model or no memory
		 */
		public ForEngine {
			Requirement.positive("number of models", models.size());
			Requirement.positive("KV tokens", kvTokens);
			models = Set.copyOf(models);
		}

		/**
		 * Returns the models in the order of their names.
		 * @return the models the engine serves
		 */
		public Set<ModelName> sortedModels() {
			return new TreeSet<>(this.models);
		}

	}

	/**
	 * An upstream that runs plain services.
	 *
	 * @param services the services that run there
	 */
	record ForService(Set<ServiceName> services) implements UpstreamKind {

		/**
		 * Creates a description of services.
		 * @param services the services that run there
		 * @throws IllegalArgumentException if there is no service
		 */
		public ForService {
			Requirement.positive("number of services", services.size());
			services = Set.copyOf(services);
		}

		/**
		 * Returns the services in the order of their names.
		 * @return the services that run there
		 */
		public Set<ServiceName> sortedServices() {
			return new TreeSet<>(this.services);
		}

	}

}
