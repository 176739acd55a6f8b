/**
 * Decisions: values, reducers and the strategies they are built from; no clock, random
 * source or I/O.
 */
package io.lentilslip.core;
