/**
 * How many calls an upstream gets at once, and which calls can still be served in time.
 */
package io.lentilslip.core.admission;
