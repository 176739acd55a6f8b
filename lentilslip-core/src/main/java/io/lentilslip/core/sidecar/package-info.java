/**
 * Decisions of the process beside an upstream: order, deduplication, queueing, history
 * and engine memory.
 */
package io.lentilslip.core.sidecar;
