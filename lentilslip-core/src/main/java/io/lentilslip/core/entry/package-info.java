/**
 * Decisions of an entry: who may call, which sidecar runs a call, and what the caller is
 * told.
 */
package io.lentilslip.core.entry;
