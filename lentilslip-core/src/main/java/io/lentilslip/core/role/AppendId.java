package io.lentilslip.core.role;

/**
 * The number by which a process knows one of its appends. Immutable and safe for use by
 * several threads.
 *
 * @param value a number that this process uses once
 */
public record AppendId(long value) {

}
