/**
 * The client of a model engine. docs/ENGINE-PROTOCOL.md describes what it speaks.
 */
package io.lentilslip.client.engine;
