package io.lentilslip.core.call;

import java.util.List;

/**
 * Immutable HTTP request to a plain service. Thread-safe.
 *
 * @param method the method
 * @param path the path and query, starting with a slash
 * @param headers the headers to forward
 * @param body the body
 */
public record ServiceRequest(String method, String path, List<Header> headers, Body body) {

	/**
	 * Creates a request.
	 * @param method the method
	 * @param path the path and query, starting with a slash
	 * @param headers the headers to forward
	 * @param body the body
	 */
	public ServiceRequest {
		headers = List.copyOf(headers);
	}

}
