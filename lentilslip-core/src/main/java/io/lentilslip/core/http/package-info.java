/**
 * Rules of HTTP that all readers of responses share. Without I/O.
 */
package io.lentilslip.core.http;
