/**
 * What an entry holds of the budgets of groups: slices that it reserved through the log,
 * and the calls that they pay for.
 */
package io.lentilslip.core.budget;
