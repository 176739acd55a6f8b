/**
 * Numbered events and metrics.
 */
package io.lentilslip.telemetry;
