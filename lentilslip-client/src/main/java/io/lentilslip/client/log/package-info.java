/**
 * The client of the log service: appends whose fate may stay unknown, and reads that show
 * gaps.
 */
package io.lentilslip.client.log;
