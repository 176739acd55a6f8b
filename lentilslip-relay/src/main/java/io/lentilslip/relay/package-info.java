/**
 * The relay process around the reducer of the core. Callers, upstreams, the store and the
 * links to other relays share one event loop.
 */
package io.lentilslip.relay;
