/**
 * Micro-benchmarks of the decisions.
 */
package io.lentilslip.verification.benchmark;
