package io.lentilslip.entry.http;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

import io.lentilslip.core.call.Header;

/**
 * The choice of the headers that pass between a caller and a plain service. Those of one
 * connection stay on it, and the service learns neither the caller's key nor what is said
 * between the caller and this system. Safe for use by several threads.
 */
final class ServiceHeaders {

	private static final Set<String> OF_CONNECTION = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "host", "expect");

	private static final String CONNECTION = "connection";

	private static final String AUTHORIZATION = "authorization";

	private static final String OWN_PREFIX = "lentilslip-";

	private static final Pattern NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

	private static final Pattern VALUE = Pattern.compile("[\\t\\x20-\\x7e\\x80-\\xff]*");

	private ServiceHeaders() {
	}

	/**
	 * Returns the headers of a request that its service gets.
	 * @param headers the headers of the request
	 * @return the headers to pass on
	 */
	static List<Header> toService(Collection<Header> headers) {
		return passing(headers).stream().filter((header) -> !lower(header).equals(AUTHORIZATION)).toList();
	}

	/**
	 * Returns the headers of an answer that the caller gets.
	 * @param headers the headers of the answer
	 * @return the headers to pass back
	 */
	static List<Header> toCaller(Collection<Header> headers) {
		return passing(headers);
	}

	private static List<Header> passing(Collection<Header> headers) {
		Set<String> dropped = new HashSet<>(OF_CONNECTION);
		headers.stream().filter((header) -> lower(header).equals(CONNECTION)).forEach((header) -> {
			for (String name : header.value().split(",")) {
				dropped.add(name.strip().toLowerCase(Locale.ROOT));
			}
		});
		return headers.stream().filter((header) -> isSound(header) && !dropped.contains(lower(header))).toList();
	}

	private static boolean isSound(Header header) {
		return NAME.matcher(header.name()).matches() && VALUE.matcher(header.value()).matches()
				&& !lower(header).startsWith(OWN_PREFIX);
	}

	private static String lower(Header header) {
		return header.name().toLowerCase(Locale.ROOT);
	}

}
