/**
 * Identifiers of processes, groups, programs and calls.
 */
package io.lentilslip.core.identity;
