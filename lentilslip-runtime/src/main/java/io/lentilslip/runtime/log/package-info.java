/**
 * Following and appending to the streams of the log service.
 */
package io.lentilslip.runtime.log;
