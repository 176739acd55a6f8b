/**
 * The shell around the relay's reducer. Everything runs on one event loop: callers,
 * upstreams, the store and the links to other relays.
 */
package io.lentilslip.relay;
