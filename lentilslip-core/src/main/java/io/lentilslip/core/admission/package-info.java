/**
 * Concurrency limits of upstreams and deadline-based admission.
 */
package io.lentilslip.core.admission;
