/**
 * Small stand-ins of the outside systems for tests and the demonstration.
 */
package io.lentilslip.standin;
