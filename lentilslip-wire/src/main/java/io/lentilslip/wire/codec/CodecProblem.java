package io.lentilslip.wire.codec;

/**
 * Why bytes are no message. Implementations are immutable and safe for use by several
 * threads. Their fields hold names of fields, numbers and short reasons, never content of
 * the message, so that they may be logged.
 */
public sealed interface CodecProblem {

	/**
	 * Bytes that are not in the form of the protocol, such as bytes cut short.
	 */
	record Malformed() implements CodecProblem {

	}

	/**
	 * A kind that this version of the program does not know.
	 *
	 * @param field the field that holds the kind
	 * @param version the version that the sender's program writes
	 */
	record UnknownKind(String field, int version) implements CodecProblem {

	}

	/**
	 * A field that must be there and is not.
	 *
	 * @param field the field
	 */
	record MissingField(String field) implements CodecProblem {

	}

	/**
	 * A field whose value is not allowed.
	 *
	 * @param field the field
	 * @param reason what is expected
	 */
	record InvalidField(String field, String reason) implements CodecProblem {

	}

	/**
	 * A list that is longer than allowed.
	 *
	 * @param field the field
	 * @param size the length
	 * @param limit the greatest length allowed
	 */
	record TooMany(String field, int size, int limit) implements CodecProblem {

	}

	/**
	 * Bytes whose checksum does not match.
	 */
	record ChecksumMismatch() implements CodecProblem {

	}

}
