package io.lentilslip.core.configuration;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Immutable numeric IP address and port. Host names are not supported, so that
 * connections do not depend on name resolution. Thread-safe.
 *
 * @param ip an IPv4 address, or an IPv6 address in lower case without brackets
 * @param port a port from 0 to 65535, where 0 binds to an ephemeral port
 */
public record Endpoint(String ip, int port) implements Comparable<Endpoint> {

	private static final int MAX_PORT = 65535;

	private static final int IPV6_GROUP_COUNT = 8;

	private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";

	private static final Pattern IPV4 = Pattern.compile(OCTET + "(?:\\." + OCTET + "){3}");

	private static final String IPV6_GROUPS = "(?:[0-9a-f]{1,4}(?::[0-9a-f]{1,4})*)";

	private static final Pattern IPV6_FULL = Pattern.compile("[0-9a-f]{1,4}(?::[0-9a-f]{1,4}){7}");

	private static final Pattern IPV6_COMPRESSED = Pattern.compile(IPV6_GROUPS + "?::" + IPV6_GROUPS + "?");

	private static final Pattern TEXT = Pattern
		.compile("(?:\\[(?<six>[0-9a-f:]+)]|(?<four>[0-9.]+)):(?<port>\\d{1,5})");

	/**
	 * Creates an endpoint.
	 * @param ip an IPv4 address, or an IPv6 address in lower case without brackets
	 * @param port a port from 0 to 65535
	 * @throws IllegalArgumentException if the address is not numeric or the port is out
	 * of range
	 */
	public Endpoint {
		Objects.requireNonNull(ip, "ip");
		if (!isNumeric(ip) || port < 0 || port > MAX_PORT) {
			throw new IllegalArgumentException("invalid numeric address or port: " + ip + " " + port);
		}
	}

	/**
	 * Parses an endpoint such as {@code 10.0.0.7:8080} or {@code [::1]:8080}.
	 * @param text the text to parse
	 * @return the endpoint, or an empty result if the text is not valid
	 */
	public static Optional<Endpoint> parse(String text) {
		Matcher matcher = TEXT.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		String ip = (matcher.group("four") != null) ? matcher.group("four") : matcher.group("six");
		int port = Integer.parseInt(matcher.group("port"));
		boolean bracketed = matcher.group("six") != null;
		if (port > MAX_PORT || !isNumeric(ip) || bracketed != ip.contains(":")) {
			return Optional.empty();
		}
		return Optional.of(new Endpoint(ip, port));
	}

	private static boolean isNumeric(String ip) {
		if (IPV4.matcher(ip).matches() || IPV6_FULL.matcher(ip).matches()) {
			return true;
		}
		long parts = Arrays.stream(ip.split(":")).filter((part) -> !part.isEmpty()).count();
		return parts < IPV6_GROUP_COUNT && IPV6_COMPRESSED.matcher(ip).matches();
	}

	@Override
	public int compareTo(Endpoint other) {
		int byIp = this.ip.compareTo(other.ip);
		return (byIp != 0) ? byIp : Integer.compare(this.port, other.port);
	}

	@Override
	public String toString() {
		return this.ip.contains(":") ? "[" + this.ip + "]:" + this.port : this.ip + ":" + this.port;
	}

}
