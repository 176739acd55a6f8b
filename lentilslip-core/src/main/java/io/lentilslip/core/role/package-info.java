/**
 * Events, effects and values shared by entries and sidecars.
 */
package io.lentilslip.core.role;
