/**
 * Configuration published by operators: groups with shares and budgets, callers, program
 * rules, models, services, upstreams and limits.
 */
package io.lentilslip.core.configuration;
