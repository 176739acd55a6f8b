/**
 * The loop that gives events to a reducer one after the other, and the clock, seeds and
 * ticks that feed it.
 */
package io.lentilslip.runtime.loop;
