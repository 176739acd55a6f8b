package io.lentilslip.runtime.configuration;

import io.lentilslip.core.call.Body;
import io.lentilslip.core.configuration.Configuration;

/**
 * A configuration in force, with the bytes by which peers can check it for themselves.
 * Immutable and safe for use by several threads.
 *
 * @param version the offset of its record
 * @param record the bytes of its record
 * @param configuration the configuration
 */
public record PublishedVersion(long version, Body record, Configuration configuration) {

}
