/**
 * The value that operators publish and every process reads.
 */
package io.lentilslip.wire.configuration;
