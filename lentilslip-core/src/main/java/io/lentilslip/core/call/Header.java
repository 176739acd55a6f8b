package io.lentilslip.core.call;

/**
 * Immutable header of an HTTP message. Thread-safe.
 *
 * @param name the name
 * @param value the value
 */
public record Header(String name, String value) {

}
