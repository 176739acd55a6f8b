package io.lentilslip.core.relay;

/**
 * What one life of an upstream said of its load, as relays pass it on. Immutable and safe
 * for use by several threads.
 *
 * @param incarnationHash a hash of the name of the life: one of another life does little
 * harm, since it is believed for a fraction of a second
 * @param requests the requests that ran or waited there
 * @param ageMillis how long ago it said so, in milliseconds
 */
public record UpstreamLoad(int incarnationHash, int requests, int ageMillis) {

}
