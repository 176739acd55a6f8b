/**
 * Request quotas of teams across all relays. Each team has one coordinating relay that
 * grants permits, which the other relays spend. Decisions depend on events and times
 * alone; this package must never read a clock, block or perform I/O.
 */
package io.lentilslip.core.quota;
