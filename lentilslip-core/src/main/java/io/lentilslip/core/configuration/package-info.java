/**
 * The configuration that operators publish, as values: groups with shares and budgets,
 * callers, program rules, models, services, upstreams and limits.
 */
package io.lentilslip.core.configuration;
