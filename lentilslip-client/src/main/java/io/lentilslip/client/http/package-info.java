/**
 * Sending of HTTP requests to the systems outside, each at most once, with what is known
 * of the sending when no answer came.
 */
package io.lentilslip.client.http;
