package io.lentilslip.settings.ini;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import io.lentilslip.core.configuration.Endpoint;
import io.lentilslip.core.identity.Digest;

/**
 * A kind of value: how its text is read, and what operators are told where the text is
 * none. Immutable and safe for use by several threads.
 *
 * @param <T> the type of the values
 * @param expected what a text of this kind looks like
 * @param parser reads a text, with an empty result if it is none of this kind
 */
public record ValueKind<T>(String expected, Function<String, Optional<T>> parser) {

	/**
	 * A numeric address and a port, where port 0 stands for any free one.
	 */
	public static final ValueKind<Endpoint> LISTENING_ENDPOINT = new ValueKind<>(
			"a numeric IP address and a port (0 for any), such as 10.0.0.7:8080 or [::1]:8080", Endpoint::parse);

	/**
	 * A numeric address and a port that can be connected to.
	 */
	public static final ValueKind<Endpoint> ENDPOINT = new ValueKind<>(
			"a numeric IP address and a port from 1, such as 10.0.0.7:8080 or [::1]:8080", Endpoint::parse)
		.where((endpoint) -> endpoint.port() != 0);

	/**
	 * A time longer than nothing and short enough to be counted in nanoseconds.
	 */
	public static final ValueKind<Duration> DURATION = new ValueKind<>(
			"a time such as 500ms, 30s, 5m, 12h or 7d, up to 366d", ValueKind::parseDuration);

	/**
	 * Yes or no.
	 */
	public static final ValueKind<Boolean> BOOLEAN = new ValueKind<>("true or false", ValueKind::parseBoolean);

	/**
	 * A SHA-256 digest.
	 */
	public static final ValueKind<Digest> DIGEST = new ValueKind<>(
			"a SHA-256 digest of 64 lower-case hexadecimal digits", ValueKind::parseDigest);

	/**
	 * The path of a file.
	 */
	public static final ValueKind<Path> PATH = new ValueKind<>("the path of a file", ValueKind::parsePath);

	private static final Pattern DURATION_TEXT = Pattern.compile("(\\d{1,9})(ms|s|m|h|d)");

	private static final Pattern BYTES_TEXT = Pattern.compile("(\\d{1,9})(B|KiB|MiB|GiB)");

	private static final Pattern DIGEST_TEXT = Pattern.compile("[0-9a-f]{64}");

	private static final Pattern NUMBER_TEXT = Pattern.compile("-?\\d{1,18}");

	private static final Duration LONGEST_DURATION = Duration.ofDays(366);

	private static final int SHOWN_NAMES = 8;

	/**
	 * Creates a kind of value.
	 * @param expected what a text of this kind looks like
	 * @param parser reads a text, with an empty result if it is none of this kind
	 */
	public ValueKind {
		Objects.requireNonNull(expected, "expected");
		Objects.requireNonNull(parser, "parser");
	}

	/**
	 * Returns whole numbers within bounds.
	 * @param least the least number
	 * @param most the greatest number
	 * @return the kind of value
	 */
	public static ValueKind<Long> number(long least, long most) {
		return new ValueKind<>("a whole number from " + least + " to " + most, ValueKind::parseNumber)
			.where((number) -> number >= least && number <= most);
	}

	/**
	 * Returns whole numbers within bounds that fit in an {@code int}.
	 * @param least the least number
	 * @param most the greatest number
	 * @return the kind of value
	 */
	public static ValueKind<Integer> integer(int least, int most) {
		return number(least, most).map(Math::toIntExact);
	}

	/**
	 * Returns sizes from one byte up to a bound.
	 * @param most the greatest number of bytes
	 * @return the kind of value
	 */
	public static ValueKind<Long> bytes(long most) {
		return new ValueKind<>("a size such as 4096B, 64KiB or 8MiB, up to " + ValueText.ofBytes(most),
				ValueKind::parseBytes)
			.where((bytes) -> bytes <= most);
	}

	/**
	 * Returns names that stand elsewhere in the same configuration.
	 * @param <T> the type of the names
	 * @param what what the names are of
	 * @param names the names that stand elsewhere
	 * @param parser reads a name
	 * @return the kind of value
	 */
	public static <T extends Comparable<T>> ValueKind<T> oneOf(String what, Set<T> names,
			Function<String, Optional<T>> parser) {
		String shown = names.stream()
			.sorted()
			.limit(SHOWN_NAMES)
			.map(Object::toString)
			.collect(Collectors.joining(", "));
		String rest = (names.size() > SHOWN_NAMES) ? ", ..." : "";
		String expected = names.isEmpty() ? what + ", of which there is none" : what + " (" + shown + rest + ")";
		return new ValueKind<>(expected, parser).where(names::contains);
	}

	/**
	 * Returns this kind with fewer values.
	 * @param condition which values remain
	 * @return the kind of value
	 */
	public ValueKind<T> where(Predicate<T> condition) {
		return new ValueKind<>(this.expected, (text) -> this.parser.apply(text).filter(condition));
	}

	/**
	 * Returns this kind with values of another type.
	 * @param <R> the other type
	 * @param mapping turns a value into one of the other type
	 * @return the kind of value
	 */
	public <R> ValueKind<R> map(Function<T, R> mapping) {
		return new ValueKind<>(this.expected, (text) -> this.parser.apply(text).map(mapping));
	}

	/**
	 * Returns lists of values of this kind between commas.
	 * @return the kind of value
	 */
	public ValueKind<List<T>> list() {
		return new ValueKind<>("different values between commas, each " + this.expected, this::parseList);
	}

	private Optional<List<T>> parseList(String text) {
		List<Optional<T>> values = Arrays.stream(text.split(",", -1)).map(String::strip).map(this.parser).toList();
		List<T> present = values.stream().flatMap(Optional::stream).distinct().toList();
		return (present.size() == values.size()) ? Optional.of(present) : Optional.empty();
	}

	private static Optional<Duration> parseDuration(String text) {
		Matcher matcher = DURATION_TEXT.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		long amount = Long.parseLong(matcher.group(1));
		Duration duration = switch (matcher.group(2)) {
			case "ms" -> Duration.ofMillis(amount);
			case "s" -> Duration.ofSeconds(amount);
			case "m" -> Duration.ofMinutes(amount);
			case "h" -> Duration.ofHours(amount);
			default -> Duration.ofDays(amount);
		};
		return Optional.of(duration).filter((time) -> time.isPositive() && time.compareTo(LONGEST_DURATION) <= 0);
	}

	private static Optional<Long> parseBytes(String text) {
		Matcher matcher = BYTES_TEXT.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		int shift = switch (matcher.group(2)) {
			case "KiB" -> 10;
			case "MiB" -> 20;
			case "GiB" -> 30;
			default -> 0;
		};
		return Optional.of(Long.parseLong(matcher.group(1)) << shift).filter((bytes) -> bytes > 0);
	}

	private static Optional<Boolean> parseBoolean(String text) {
		return switch (text) {
			case "true" -> Optional.of(true);
			case "false" -> Optional.of(false);
			default -> Optional.empty();
		};
	}

	private static Optional<Digest> parseDigest(String text) {
		return DIGEST_TEXT.matcher(text).matches() ? Optional.of(new Digest(text)) : Optional.empty();
	}

	private static Optional<Path> parsePath(String text) {
		try {
			return text.isEmpty() ? Optional.empty() : Optional.of(Path.of(text));
		}
		catch (InvalidPathException ex) {
			return Optional.empty();
		}
	}

	private static Optional<Long> parseNumber(String text) {
		return NUMBER_TEXT.matcher(text).matches() ? Optional.of(Long.valueOf(text)) : Optional.empty();
	}

}
