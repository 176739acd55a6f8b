/**
 * The links between relays.
 */
package io.lentilslip.relay.peer;
