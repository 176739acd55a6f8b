/**
 * INI files in which every section and key knows its file and line, and typed values read
 * from them.
 */
package io.lentilslip.settings.ini;
