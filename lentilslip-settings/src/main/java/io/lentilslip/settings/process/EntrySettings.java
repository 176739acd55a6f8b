package io.lentilslip.settings.process;

import java.util.Objects;

import io.lentilslip.core.configuration.Endpoint;

/**
 * The settings of an entry. Immutable and safe for use by several threads.
 *
 * @param process what both roles need to know
 * @param callers where the entry listens for callers
 */
public record EntrySettings(ProcessSettings process, Endpoint callers) {

	/**
	 * Creates settings.
	 * @param process what both roles need to know
	 * @param callers where the entry listens for callers
	 */
	public EntrySettings {
		Objects.requireNonNull(process, "process");
		Objects.requireNonNull(callers, "callers");
	}

}
