/**
 * The client of the weight store.
 */
package io.lentilslip.client.weight;
