/**
 * Scheduling of waiting calls: fair shares among groups, service classes within a group,
 * attained service of programs within a class.
 */
package io.lentilslip.core.share;
