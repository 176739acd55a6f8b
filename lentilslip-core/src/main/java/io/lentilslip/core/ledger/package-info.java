/**
 * What the processes agree on through the order of the log: the homes of programs, their
 * turns, and the claims of calls that may not be repeated.
 */
package io.lentilslip.core.ledger;
