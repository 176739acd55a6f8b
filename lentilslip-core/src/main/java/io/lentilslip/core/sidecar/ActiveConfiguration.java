package io.lentilslip.core.sidecar;

import java.util.Optional;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.configuration.UpstreamPolicy;

/**
 * Immutable view of the active configuration and its policy for this sidecar's upstream.
 * Safe for use by several threads.
 *
 * @param version the version of the configuration
 * @param configuration the configuration
 * @param upstream the policy of the upstream, or an empty result if the configuration
 * does not contain it
 */
record ActiveConfiguration(long version, Configuration configuration, Optional<UpstreamPolicy> upstream) {

	int maximumCalls() {
		return this.upstream.map(UpstreamPolicy::maximumCalls).orElse(0);
	}

	Limits limits() {
		return this.configuration.limits();
	}

}
