/**
 * Request quotas of teams over all relays. One relay counts for each team and grants
 * permits; the others spend what they were granted. Decides from events and times alone,
 * and must never read a clock, wait or do I/O.
 */
package io.lentilslip.core.quota;
