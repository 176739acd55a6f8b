/**
 * What is known of a request's execution.
 */
package io.lentilslip.core.verdict;
