/**
 * State that the processes agree on through the order of the log: the homes of programs,
 * their turns, claims of calls that may not be repeated, crash counts and budgets.
 */
package io.lentilslip.core.ledger;
