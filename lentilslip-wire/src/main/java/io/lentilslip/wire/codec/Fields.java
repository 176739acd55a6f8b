package io.lentilslip.wire.codec;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Function;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.lentilslip.core.identity.Digest;
import io.vavr.control.Either;

/**
 * Checks of single fields. Each check of a field that was read throws an
 * {@link InvalidMessageException} where the value is not allowed. Stateless and safe for
 * use by several threads.
 */
final class Fields {

	/**
	 * The version that this program writes. It grows when messages change; see
	 * docs/WIRE.md for what a change may be.
	 */
	static final int PROTOCOL_VERSION = 1;

	private static final HexFormat HEX = HexFormat.of();

	private static final int DIGEST_BYTES = 32;

	private static final int UUID_BYTES = 16;

	private Fields() {
	}

	/**
	 * Runs a decoder and returns its problem as a value.
	 * @param decoder reads the value
	 * @param <T> the type of the value
	 * @return the value, or why there is none
	 */
	static <T> Either<CodecProblem, T> decode(Decoder<T> decoder) {
		try {
			return Either.right(decoder.decode());
		}
		catch (InvalidMessageException ex) {
			return Either.left(ex.problem());
		}
		catch (InvalidProtocolBufferException ex) {
			return Either.left(new CodecProblem.Malformed());
		}
	}

	/**
	 * Returns the version of a message that was read.
	 * @param version the value of its field
	 * @return the version, at least 1
	 */
	static int version(int version) {
		if (version < 1) {
			throw new InvalidMessageException(new CodecProblem.MissingField("version"));
		}
		return version;
	}

	/**
	 * Checks that a field is there.
	 * @param present whether it is there
	 * @param field the name of the field
	 */
	static void require(boolean present, String field) {
		if (!present) {
			throw new InvalidMessageException(new CodecProblem.MissingField(field));
		}
	}

	/**
	 * Returns the exception for a value that is not allowed.
	 * @param field the name of the field
	 * @param reason what is expected
	 * @return the exception
	 */
	static InvalidMessageException invalid(String field, String reason) {
		return new InvalidMessageException(new CodecProblem.InvalidField(field, reason));
	}

	/**
	 * Returns the exception for a kind that is not known.
	 * @param field the field that holds the kind
	 * @param version the version that the sender's program writes
	 * @return the exception
	 */
	static InvalidMessageException unknownKind(String field, int version) {
		return new InvalidMessageException(new CodecProblem.UnknownKind(field, version));
	}

	/**
	 * Returns a name.
	 * @param text the text that was read
	 * @param field the name of the field
	 * @param parser reads the name
	 * @param <T> the type of the name
	 * @return the name
	 */
	static <T> T name(String text, String field, Function<String, Optional<T>> parser) {
		require(!text.isEmpty(), field);
		return parser.apply(text).orElseThrow(() -> invalid(field, "an allowed name"));
	}

	/**
	 * Returns a number that is not negative.
	 * @param value the number that was read
	 * @param field the name of the field
	 * @return the number
	 */
	static int count(int value, String field) {
		if (value < 0) {
			throw invalid(field, "a number from 0 to " + Integer.MAX_VALUE);
		}
		return value;
	}

	/**
	 * Returns a number that is not negative.
	 * @param value the number that was read
	 * @param field the name of the field
	 * @return the number
	 */
	static long count(long value, String field) {
		if (value < 0) {
			throw invalid(field, "a number from 0 to " + Long.MAX_VALUE);
		}
		return value;
	}

	/**
	 * Returns a number that is at least 1.
	 * @param value the number that was read
	 * @param field the name of the field
	 * @return the number
	 */
	static int ordinal(int value, String field) {
		if (value < 1) {
			throw invalid(field, "a number from 1 to " + Integer.MAX_VALUE);
		}
		return value;
	}

	/**
	 * Returns a list that is not too long.
	 * @param list the list that was read
	 * @param limit the greatest length allowed
	 * @param field the name of the field
	 * @param <T> the type of the items
	 * @return the list
	 */
	static <T> List<T> bounded(List<T> list, int limit, String field) {
		if (list.size() > limit) {
			throw new InvalidMessageException(new CodecProblem.TooMany(field, list.size(), limit));
		}
		return list;
	}

	/**
	 * Returns a time.
	 * @param nanos the nanoseconds that were read
	 * @param field the name of the field
	 * @return the time
	 */
	static Duration duration(long nanos, String field) {
		return Duration.ofNanos(count(nanos, field));
	}

	/**
	 * Returns the nanoseconds to write for a time. A negative time, such as that left
	 * after a deadline, is written as zero, and one of more than 292 years as that.
	 * @param duration the time
	 * @return the nanoseconds
	 */
	static long nanos(Duration duration) {
		if (duration.isNegative()) {
			return 0;
		}
		Duration greatest = Duration.ofNanos(Long.MAX_VALUE);
		return (duration.compareTo(greatest) < 0) ? duration.toNanos() : Long.MAX_VALUE;
	}

	/**
	 * Returns a digest.
	 * @param bytes the bytes that were read
	 * @param field the name of the field
	 * @return the digest
	 */
	static Digest digest(ByteString bytes, String field) {
		require(!bytes.isEmpty(), field);
		if (bytes.size() != DIGEST_BYTES) {
			throw invalid(field, DIGEST_BYTES + " bytes");
		}
		return new Digest(HEX.formatHex(bytes.toByteArray()));
	}

	/**
	 * Returns the bytes to write for a digest.
	 * @param digest the digest
	 * @return the bytes
	 */
	static ByteString bytes(Digest digest) {
		return ByteString.copyFrom(HEX.parseHex(digest.hex()));
	}

	/**
	 * Returns a UUID.
	 * @param bytes the bytes that were read
	 * @param field the name of the field
	 * @return the UUID
	 */
	static UUID uuid(ByteString bytes, String field) {
		require(!bytes.isEmpty(), field);
		if (bytes.size() != UUID_BYTES) {
			throw invalid(field, UUID_BYTES + " bytes");
		}
		ByteBuffer buffer = bytes.asReadOnlyByteBuffer();
		return new UUID(buffer.getLong(), buffer.getLong());
	}

	/**
	 * Returns the bytes to write for a UUID.
	 * @param value the UUID
	 * @return the bytes
	 */
	static ByteString bytes(UUID value) {
		ByteBuffer buffer = ByteBuffer.allocate(UUID_BYTES);
		buffer.putLong(value.getMostSignificantBits()).putLong(value.getLeastSignificantBits()).flip();
		return ByteString.copyFrom(buffer);
	}

	/**
	 * A step that reads a value.
	 *
	 * @param <T> the type of the value
	 */
	@FunctionalInterface
	interface Decoder<T> {

		/**
		 * Reads the value.
		 * @return the value
		 * @throws InvalidProtocolBufferException if bytes are not in the form of the
		 * protocol
		 */
		T decode() throws InvalidProtocolBufferException;

	}

}
