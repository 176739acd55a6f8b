/**
 * Events and effects that entries and sidecars have in common.
 */
package io.lentilslip.core.role;
