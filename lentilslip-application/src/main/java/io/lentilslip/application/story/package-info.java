/**
 * The story of one request, put together from the log lines of all processes.
 */
package io.lentilslip.application.story;
