/**
 * What a sidecar asks of its upstream, and what it learns of its state.
 */
package io.lentilslip.sidecar.upstream;
