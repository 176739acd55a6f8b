package io.lentilslip.core.configuration;

import java.util.Set;
import java.util.TreeSet;

import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ServiceName;

/**
 * Immutable kind of an upstream: a model engine or plain services. Thread-safe.
 */
public sealed interface UpstreamKind {

	/**
	 * A model engine.
	 *
	 * @param models the models the engine serves
	 * @param checksFencingNumbers whether the engine rejects requests with an outdated
	 * fencing number; otherwise the sidecar does
	 * @param kvTokens the capacity of the engine's KV cache in tokens
	 */
	record ForEngine(Set<ModelName> models, boolean checksFencingNumbers, long kvTokens) implements UpstreamKind {

		/**
		 * Creates a description of an engine.
		 * @param models the models the engine serves
		 * @param checksFencingNumbers whether the engine rejects requests with an
		 * outdated fencing number
		 * @param kvTokens the capacity of the engine's KV cache in tokens
		 * @throws IllegalArgumentException if there is no model or the cache capacity is
		 * not positive
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
	 * An upstream with plain services.
	 *
	 * @param services the services of the upstream
	 */
	record ForService(Set<ServiceName> services) implements UpstreamKind {

		/**
		 * Creates a description of services.
		 * @param services the services of the upstream
		 * @throws IllegalArgumentException if there is no service
		 */
		public ForService {
			Requirement.positive("number of services", services.size());
			services = Set.copyOf(services);
		}

		/**
		 * Returns the services in the order of their names.
		 * @return the services of the upstream
		 */
		public Set<ServiceName> sortedServices() {
			return new TreeSet<>(this.services);
		}

	}

}
