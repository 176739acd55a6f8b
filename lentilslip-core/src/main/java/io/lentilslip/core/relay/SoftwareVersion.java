package io.lentilslip.core.relay;

/**
 * Immutable software version of the upstreams of a service. What two versions write into
 * a stream doesn't fit together. Safe for use by several threads.
 *
 * @param service the service
 * @param version the version; empty if unknown
 */
public record SoftwareVersion(String service, String version) {

	static SoftwareVersion of(Upstream upstream) {
		return new SoftwareVersion(upstream.service(), upstream.version());
	}

	boolean isOf(Upstream upstream) {
		return this.service.equals(upstream.service()) && this.version.equals(upstream.version());
	}

}
