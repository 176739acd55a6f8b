package io.lentilslip.core.relay;

/**
 * A part of a prompt that an engine may hold in its cache. Immutable.
 *
 * @param id what names the part
 * @param tokens how many tokens it has
 */
public record PromptPart(long id, int tokens) {

}
