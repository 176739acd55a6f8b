/**
 * Retry policy, retry budget and backoff.
 */
package io.lentilslip.core.retry;
