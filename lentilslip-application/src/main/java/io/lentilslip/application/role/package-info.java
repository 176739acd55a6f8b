/**
 * Entries and sidecars as processes of their own: from settings to the end of the last
 * call.
 */
package io.lentilslip.application.role;
