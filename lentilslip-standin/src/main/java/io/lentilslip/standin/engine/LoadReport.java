package io.lentilslip.standin.engine;

/**
 * An engine's load at one moment. Immutable and safe for use by several threads.
 *
 * @param running the requests that run
 * @param waiting the requests that wait
 * @param usedTokens the tokens of memory held by requests and pinned sessions
 * @param totalTokens the tokens of memory
 * @param measuredAtMillis when it was measured, in milliseconds of the epoch
 */
record LoadReport(int running, int waiting, int usedTokens, int totalTokens, long measuredAtMillis) {

}
