/**
 * INI settings of a process and the configuration folder of operators.
 */
package io.lentilslip.settings;
