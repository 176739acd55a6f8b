/**
 * The measurement of the whole path: calls straight to an engine stand-in against calls
 * through an entry and a sidecar.
 */
package io.lentilslip.verification.path;
