/**
 * The relay process.
 */
package io.lentilslip.relay.process;
