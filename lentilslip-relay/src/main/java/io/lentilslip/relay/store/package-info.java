/**
 * Access to the platform's store: the log of entries, the texts of turns and the
 * compacted topics.
 */
package io.lentilslip.relay.store;
