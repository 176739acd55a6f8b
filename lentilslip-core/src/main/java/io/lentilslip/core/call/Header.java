package io.lentilslip.core.call;

/**
 * A header of an HTTP message. Immutable and safe for use by several threads.
 *
 * @param name the name
 * @param value the value
 */
public record Header(String name, String value) {

}
