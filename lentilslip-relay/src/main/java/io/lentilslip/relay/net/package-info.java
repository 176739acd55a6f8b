/**
 * Socket options and traffic counts.
 */
package io.lentilslip.relay.net;
