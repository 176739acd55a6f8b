package io.lentilslip.core.relay;

/**
 * What one life of an upstream said of its load, as relays pass it on. Immutable and safe
 * for use by several threads.
 *
 * @param life a hash of the name of the life: one of another life does little harm, since
 * it is believed for a fraction of a second
 * @param requests the requests that ran or waited there
 * @param age how long ago it said so, in milliseconds
 */
public record UpstreamLoad(int life, int requests, int age) {

}
