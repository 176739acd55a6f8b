/**
 * HTTP client for upstreams.
 */
package io.lentilslip.relay.upstream;
