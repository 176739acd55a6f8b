/**
 * The settings of one process: its addresses, its availability zone, where the platform's
 * services are, and bounds on its memory.
 */
package io.lentilslip.settings.process;
