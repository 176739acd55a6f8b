/**
 * The ports at which callers and the platform reach a relay.
 */
package io.lentilslip.relay.http;
