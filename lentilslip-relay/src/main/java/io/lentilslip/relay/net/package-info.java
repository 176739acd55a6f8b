/**
 * How the relay opens sockets.
 */
package io.lentilslip.relay.net;
