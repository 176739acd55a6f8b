package io.lentilslip.core.relay;

/**
 * Immutable part of a prompt that an engine may have in its prefix cache.
 *
 * @param id the identity of the part
 * @param tokens the number of its tokens
 */
public record PromptPart(long id, int tokens) {

}
