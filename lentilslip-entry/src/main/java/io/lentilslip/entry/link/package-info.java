/**
 * The links of an entry to its sidecars.
 */
package io.lentilslip.entry.link;
