/**
 * HTTP servers for callers and readiness checks, and the HTTP client for the store.
 */
package io.lentilslip.relay.http;
