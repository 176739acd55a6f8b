/**
 * Budgets of groups in an entry: slices reserved through the log and the calls they pay
 * for.
 */
package io.lentilslip.core.budget;
