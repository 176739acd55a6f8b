/**
 * Measurements, as values that reducers emit.
 */
package io.lentilslip.core.measurement;
