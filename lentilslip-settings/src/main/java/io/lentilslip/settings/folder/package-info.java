/**
 * The configuration folder of operators: reading it whole, merging its files, showing and
 * comparing what came out.
 */
package io.lentilslip.settings.folder;
