/**
 * Links between relays.
 */
package io.lentilslip.relay.peer;
