/**
 * Calls of callers, their answers and the ways in which they end.
 */
package io.lentilslip.core.call;
