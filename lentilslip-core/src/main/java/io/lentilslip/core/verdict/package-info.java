/**
 * Verdicts on the execution of requests.
 */
package io.lentilslip.core.verdict;
