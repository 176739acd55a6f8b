package io.lentilslip.core.role;

/**
 * Immutable identifier of an append. Thread-safe.
 *
 * @param value a number that is unique within the process
 */
public record AppendId(long value) {

}
