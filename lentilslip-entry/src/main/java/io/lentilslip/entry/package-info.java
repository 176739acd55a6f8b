/**
 * The entry process: HTTP towards callers, links towards sidecars.
 */
package io.lentilslip.entry;
