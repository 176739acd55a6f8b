/**
 * Encoding of the messages that relays exchange and of the records that they write to the
 * store.
 */
package io.lentilslip.wire.relay;
