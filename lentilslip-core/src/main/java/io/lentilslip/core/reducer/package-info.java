/**
 * Deterministic state machines that map a state and an event to a new state and effects.
 */
package io.lentilslip.core.reducer;
