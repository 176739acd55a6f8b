/**
 * The HTTP server that all stand-ins run on.
 */
package io.lentilslip.standin.http;
