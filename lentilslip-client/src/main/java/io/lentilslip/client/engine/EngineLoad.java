package io.lentilslip.client.engine;

import java.time.Instant;

/**
 * An engine's load as it reports it, perhaps late. Immutable and safe for use by several
 * threads.
 *
 * @param running the requests that run
 * @param waiting the requests that wait
 * @param usedTokens the tokens of memory held by requests and pinned sessions
 * @param totalTokens the tokens of memory
 * @param measuredAt when the engine measured it, by its own clock
 */
public record EngineLoad(int running, int waiting, long usedTokens, long totalTokens, Instant measuredAt) {

}
