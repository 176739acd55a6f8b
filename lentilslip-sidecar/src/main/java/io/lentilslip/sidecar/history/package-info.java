/**
 * Reading the turns of a program back from the log.
 */
package io.lentilslip.sidecar.history;
