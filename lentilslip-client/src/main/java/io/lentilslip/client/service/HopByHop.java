package io.lentilslip.client.service;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import io.lentilslip.core.call.Header;

/**
 * A filter for the headers that belong to one connection rather than to the message.
 * Passed on they would state a length, coding or state of a connection that is not the
 * one they travel on, and the receiver would take one message for two. Safe for use by
 * several threads.
 */
final class HopByHop {

	private static final String CONNECTION = "connection";

	private static final Set<String> NAMES = Set.of(CONNECTION, "content-length", "expect", "host", "keep-alive",
			"proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding",
			"upgrade");

	private HopByHop() {
	}

	/**
	 * Returns the headers that belong to the message.
	 * @param headers all headers
	 * @return those that neither are bound to the connection nor are named by its header
	 * {@code Connection}
	 */
	static List<Header> remove(List<Header> headers) {
		Set<String> bound = new HashSet<>(NAMES);
		for (Header header : headers) {
			if (lowerCase(header.name()).equals(CONNECTION)) {
				addOptions(bound, header.value());
			}
		}
		List<Header> kept = new ArrayList<>(headers.size());
		for (Header header : headers) {
			if (!bound.contains(lowerCase(header.name()))) {
				kept.add(header);
			}
		}
		return kept;
	}

	private static void addOptions(Set<String> bound, String value) {
		for (String option : value.split(",")) {
			bound.add(lowerCase(option.strip()));
		}
	}

	private static String lowerCase(String text) {
		return text.toLowerCase(Locale.ROOT);
	}

}
