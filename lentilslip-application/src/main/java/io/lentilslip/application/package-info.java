/**
 * The command line and the one binary.
 */
package io.lentilslip.application;
