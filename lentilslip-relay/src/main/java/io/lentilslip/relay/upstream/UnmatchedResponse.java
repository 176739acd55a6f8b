package io.lentilslip.relay.upstream;

import java.util.Optional;
import java.util.OptionalInt;

import io.lentilslip.core.measurement.Measurement.ResponseUnmatched.Kind;

/**
 * Data from an upstream that belongs to no request in flight. Immutable.
 *
 * @param kind the kind of data
 * @param upstream the id of the upstream
 * @param named the id of the request that the data names
 * @param expected the id of the request in flight, or of the last one of the connection
 * @param status the status code, if the data begins with one
 * @param requestCount the number of requests that the connection has carried
 */
public record UnmatchedResponse(Kind kind, String upstream, Optional<String> named, Optional<String> expected,
		OptionalInt status, int requestCount) {

}
