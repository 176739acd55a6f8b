/**
 * Numbered events for operators, as values that reducers emit.
 */
package io.lentilslip.core.notice;
