/**
 * The messages that relays send each other and write to the platform's log, as bytes.
 */
package io.lentilslip.wire.relay;
