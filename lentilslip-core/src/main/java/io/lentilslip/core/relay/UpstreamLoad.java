package io.lentilslip.core.relay;

/**
 * Immutable load report of an upstream incarnation, as shared between relays. Safe for
 * use by several threads.
 *
 * @param incarnationHash a hash of the incarnation's id; a collision does little harm,
 * because reports expire within a fraction of a second
 * @param requests the number of running and queued requests
 * @param ageMillis the age of the report in milliseconds
 */
public record UpstreamLoad(int incarnationHash, int requests, int ageMillis) {

}
