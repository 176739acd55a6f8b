/**
 * The stand-in of the log service.
 */
package io.lentilslip.standin.log;
