/**
 * One relay as a process.
 */
package io.lentilslip.relay.process;
