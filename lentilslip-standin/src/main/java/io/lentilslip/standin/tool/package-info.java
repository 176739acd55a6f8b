/**
 * The stand-in of a plain service, such as a tool that programs call.
 */
package io.lentilslip.standin.tool;
