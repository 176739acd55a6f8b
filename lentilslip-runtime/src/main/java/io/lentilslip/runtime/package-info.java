/**
 * The shell around a reducer: mailbox, timers, log follower, configuration follower.
 */
package io.lentilslip.runtime;
