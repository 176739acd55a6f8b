/**
 * Decisions of a relay: how requests to routes are sent to upstreams, retried, rejected,
 * recorded and completed.
 */
package io.lentilslip.core.relay;
