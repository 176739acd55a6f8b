/**
 * Selection of the upstream for a new program or a single call.
 */
package io.lentilslip.core.placement;
