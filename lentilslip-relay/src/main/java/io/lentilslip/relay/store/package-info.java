/**
 * What relays read from and write to the platform's store.
 */
package io.lentilslip.relay.store;
