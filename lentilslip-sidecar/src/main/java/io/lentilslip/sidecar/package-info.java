/**
 * The process beside an upstream.
 */
package io.lentilslip.sidecar;
