/**
 * The demonstration: a whole site in one Java process, with stand-ins for the systems
 * outside, and programs that call it over HTTP as any caller would.
 */
package io.lentilslip.application.demo;
