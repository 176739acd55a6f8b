/**
 * How a process learns which published configuration is in force.
 */
package io.lentilslip.runtime.configuration;
