package io.lentilslip.relay.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.relay.Refusal;
import io.lentilslip.core.relay.RelayEffect;
import io.lentilslip.core.relay.RequestHead;
import io.lentilslip.core.relay.ResponseHead;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The header names and formats of callers and upstreams. Implementations make no
 * decisions and are safe for use by several threads.
 */
public interface Dialect {

	/**
	 * Decodes the head of a caller's request.
	 * @param request the request
	 * @return the decoded head
	 */
	RequestHead decodeRequest(HttpRequest request);

	/**
	 * Returns the ids of the caller's program and session, which distinguish requests of
	 * different callers with the same content.
	 * @param request the request
	 * @return the ids, in a fixed order
	 */
	List<String> callerIds(HttpRequest request);

	/**
	 * Writes the headers of a request to an upstream, without its timeout. Headers
	 * reserved for the system are never copied from the caller's request.
	 * @param request the caller's request
	 * @param send the effect that is carried out
	 * @param headers receives the headers
	 */
	void writeUpstreamHeaders(HttpRequest request, RelayEffect.SendRequest send, HttpHeaders headers);

	/**
	 * Writes the header with the time that an upstream has for a request.
	 * @param timeout the time until the caller stops waiting
	 * @param headers receives the header
	 */
	void writeTimeout(Duration timeout, HttpHeaders headers);

	/**
	 * Returns the id of the request that a response names.
	 * @param response the response
	 * @return the id as in a decoded head, or empty if the response names no request
	 */
	Optional<String> requestId(HttpResponse response);

	/**
	 * Returns whether a response belongs to the request with the given id.
	 * @param response the response
	 * @param id the request id
	 * @return whether it belongs to the request, as far as its headers show
	 */
	default boolean isResponseTo(HttpResponse response, String id) {
		return requestId(response).filter(id::equals).isPresent();
	}

	/**
	 * Decodes the head of an upstream's response.
	 * @param response the response
	 * @return the decoded head
	 */
	ResponseHead decodeResponse(HttpResponse response);

	/**
	 * Returns the keep-alive timeout announced by an upstream.
	 * @param response the last response on the connection
	 * @return the timeout, or empty if none is announced
	 */
	Optional<Duration> keepAliveTimeout(HttpResponse response);

	/**
	 * Creates the response to a refused request.
	 * @param refusal the reason for the refusal
	 * @param retryAfter the delay after which the caller may retry
	 * @return the response
	 */
	FullHttpResponse encodeRefusal(Refusal refusal, Optional<Duration> retryAfter);

}
