/**
 * Tests of whole processes, dependency rules and benchmarks.
 */
package io.lentilslip.verification;
