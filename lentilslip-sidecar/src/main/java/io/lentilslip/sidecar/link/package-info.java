/**
 * The links from entries.
 */
package io.lentilslip.sidecar.link;
