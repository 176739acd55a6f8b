package io.lentilslip.core.call;

import java.util.List;

/**
 * An HTTP request for a plain service. Immutable and safe for use by several threads.
 *
 * @param method the method
 * @param path the path with its query, beginning with a slash
 * @param headers the headers to pass on
 * @param body the body
 */
public record ServiceRequest(String method, String path, List<Header> headers, Body body) {

	/**
	 * Creates a request.
	 * @param method the method
	 * @param path the path with its query, beginning with a slash
	 * @param headers the headers to pass on
	 * @param body the body
	 */
	public ServiceRequest {
		headers = List.copyOf(headers);
	}

}
