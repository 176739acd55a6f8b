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
 * The names and formats in which callers and upstreams speak. Implementations decide
 * nothing, and are safe for use by several threads.
 */
public interface Dialect {

	/**
	 * Decodes what a caller's request says of itself.
	 * @param decodeRequest the request
	 * @return what it says
	 */
	RequestHead decodeRequest(HttpRequest request);

	/**
	 * Returns what names the caller's program and line of turns, for telling one caller's
	 * content from another's.
	 * @param decodeRequest the request
	 * @return the names, in a fixed order
	 */
	List<String> callerIds(HttpRequest request);

	/**
	 * Writes the headers with which a caller's request goes to an upstream. Headers that
	 * only the system may set are left out, whatever the caller sent.
	 * @param decodeRequest the caller's request
	 * @param send what is sent where
	 * @param headers takes the headers
	 */
	void writeUpstreamHeaders(HttpRequest request, RelayEffect.SendRequest send, HttpHeaders headers);

	/**
	 * Returns whether an answer is to the request with an id.
	 * @param decodeResponse the answer
	 * @param id the id
	 * @return whether it is, as far as the answer tells
	 */
	boolean isResponseTo(HttpResponse response, String id);

	/**
	 * Decodes the head of an upstream's answer.
	 * @param decodeResponse the answer
	 * @return the head
	 */
	ResponseHead decodeResponse(HttpResponse response);

	/**
	 * Returns how long an upstream keeps a connection that is idle.
	 * @param decodeResponse its last answer on that connection
	 * @return the time, or empty if it doesn't say
	 */
	Optional<Duration> keepAliveTimeout(HttpResponse response);

	/**
	 * Writes an answer of the relay's own.
	 * @param refusal why
	 * @param retryAfter when the caller may try again
	 * @return the answer
	 */
	FullHttpResponse encodeRefusal(Refusal refusal, Optional<Duration> retryAfter);

}
