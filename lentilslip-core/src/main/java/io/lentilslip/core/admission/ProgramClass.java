package io.lentilslip.core.admission;

/**
 * Immutable class of programs that compete equally for the room of a service. Safe for
 * use by several threads.
 *
 * @param priority the priority; 0 is the highest
 * @param team the team; empty if callers have none
 * @param weight the share of the team, relative to other weights; positive
 */
public record ProgramClass(int priority, String team, double weight) {

}
