package io.lentilslip.core.relay;

/**
 * One life of an upstream, as the platform lists it. Immutable and safe for use by
 * several threads.
 *
 * @param id the id of this life; another life at the same address has another
 * @param service the service that it offers
 * @param host its IP number
 * @param port its port
 * @param zone its availability zone
 * @param slots the requests that it runs at once
 * @param leaving whether it takes no new work
 */
public record Upstream(String id, String service, String host, int port, String zone, int slots, boolean leaving) {

}
