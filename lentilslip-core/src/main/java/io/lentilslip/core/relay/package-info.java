/**
 * The relay: decides how requests that callers address to routes reach upstreams, are
 * repeated, refused, recorded and ended.
 */
package io.lentilslip.core.relay;
