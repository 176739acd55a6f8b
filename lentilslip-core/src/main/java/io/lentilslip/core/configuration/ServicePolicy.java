package io.lentilslip.core.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import io.lentilslip.core.identity.ServiceName;

/**
 * Immutable policy of a plain service. Its calls run at most once unless they are listed
 * as repeatable, regardless of their method. Thread-safe.
 *
 * @param name the service
 * @param repeatable the calls that may be repeated
 * @param timeout the timeout of a call
 */
public record ServicePolicy(ServiceName name, List<RepeatableCall> repeatable, Duration timeout) {

	/**
	 * The default timeout of a call.
	 */
	public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

	/**
	 * Creates the policy of a service.
	 * @param name the service
	 * @param repeatable the calls that may be repeated
	 * @param timeout the timeout of a call
	 * @throws IllegalArgumentException if the timeout is not positive
	 */
	public ServicePolicy {
		Objects.requireNonNull(name, "name");
		Requirement.positive("timeout", timeout);
		repeatable = List.copyOf(repeatable);
	}

	/**
	 * Returns whether a call may be repeated.
	 * @param method the call's HTTP method
	 * @param path the call's path within the service, with or without a query
	 * @return whether the call is listed as repeatable
	 */
	public boolean isRepeatable(String method, String path) {
		return this.repeatable.stream().anyMatch((call) -> call.matches(method, path));
	}

}
