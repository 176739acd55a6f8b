package io.lentilslip.settings.process;

import java.util.Objects;

import io.lentilslip.core.configuration.Endpoint;

/**
 * The settings of a sidecar. Immutable and safe for use by several threads.
 *
 * @param process what both roles need to know
 * @param upstream where the sidecar finds its upstream
 */
public record SidecarSettings(ProcessSettings process, Endpoint upstream) {

	/**
	 * Creates settings.
	 * @param process what both roles need to know
	 * @param upstream where the sidecar finds its upstream
	 */
	public SidecarSettings {
		Objects.requireNonNull(process, "process");
		Objects.requireNonNull(upstream, "upstream");
	}

}
