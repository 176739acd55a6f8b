/**
 * When a failed call is tried again.
 */
package io.lentilslip.core.retry;
