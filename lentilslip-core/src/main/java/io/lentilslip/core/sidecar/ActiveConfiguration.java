package io.lentilslip.core.sidecar;

import java.util.Optional;

import io.lentilslip.core.configuration.Configuration;
import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.configuration.UpstreamPolicy;

/**
 * The configuration in force and what it says of this sidecar's upstream. Immutable and
 * safe for use by several threads.
 *
 * @param version the version
 * @param configuration the configuration
 * @param upstream the upstream, if the configuration still has it
 */
record ActiveConfiguration(long version, Configuration configuration, Optional<UpstreamPolicy> upstream) {

	int maximumCalls() {
		return this.upstream.map(UpstreamPolicy::maximumCalls).orElse(0);
	}

	Limits limits() {
		return this.configuration.limits();
	}

}
