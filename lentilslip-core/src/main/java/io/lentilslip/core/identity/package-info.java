/**
 * Names and numbers by which processes, groups, programs and calls are told apart.
 */
package io.lentilslip.core.identity;
