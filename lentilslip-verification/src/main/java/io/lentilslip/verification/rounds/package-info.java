/**
 * The rounds that were measured on the users' bench, read from the journal and drawn.
 */
package io.lentilslip.verification.rounds;
