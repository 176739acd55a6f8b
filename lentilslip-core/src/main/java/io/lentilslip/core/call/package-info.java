/**
 * Requests of callers, their responses and outcomes.
 */
package io.lentilslip.core.call;
