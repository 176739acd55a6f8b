/**
 * Numbered events that operators read, as values that reducers emit.
 */
package io.lentilslip.core.notice;
