/**
 * The connections to upstreams, and what comes over them.
 */
package io.lentilslip.relay.upstream;
