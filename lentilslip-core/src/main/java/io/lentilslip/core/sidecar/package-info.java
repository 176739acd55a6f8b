/**
 * Decisions of the process next to an upstream: call order, deduplication, queueing,
 * history and engine cache.
 */
package io.lentilslip.core.sidecar;
