/**
 * The shape of all decisions: a state and an event give a state and effects.
 */
package io.lentilslip.core.reducer;
