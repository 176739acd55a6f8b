/**
 * Clients of the systems outside: engines, log service, VM list, weight store, tool
 * services.
 */
package io.lentilslip.client;
