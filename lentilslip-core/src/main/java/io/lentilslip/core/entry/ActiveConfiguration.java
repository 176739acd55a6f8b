package io.lentilslip.core.entry;

import io.lentilslip.core.configuration.Configuration;

/**
 * Active configuration with its version. Immutable and safe for use by several threads.
 *
 * @param version the version
 * @param configuration the configuration
 */
record ActiveConfiguration(long version, Configuration configuration) {

}
