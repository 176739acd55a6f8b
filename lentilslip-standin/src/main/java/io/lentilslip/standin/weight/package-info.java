/**
 * The stand-in of the weight store.
 */
package io.lentilslip.standin.weight;
