/**
 * What a decision, a message and a piece of state cost, measured at several sizes, and
 * what follows from it at the size that the system is designed for.
 */
package io.lentilslip.verification.capacity;
