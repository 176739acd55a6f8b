/**
 * What operators see of a sidecar over HTTP.
 */
package io.lentilslip.sidecar.admin;
