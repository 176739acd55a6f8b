package io.lentilslip.standin.http;

import java.nio.charset.StandardCharsets;

/**
 * A response that violates RFC 9110 or RFC 9112, so that no recipient may pass it on. It
 * is otherwise a success with a short body. Immutable and safe for use by several
 * threads.
 */
public enum MalformedResponse {

	/**
	 * A status below the classes.
	 */
	STATUS_000("HTTP/1.1 000 Trouble", Part.LENGTH, Part.BODY),

	/**
	 * A status below the classes.
	 */
	STATUS_099("HTTP/1.1 099 Trouble", Part.LENGTH, Part.BODY),

	/**
	 * A status above the classes.
	 */
	STATUS_600("HTTP/1.1 600 Trouble", Part.LENGTH, Part.BODY),

	/**
	 * A status that is too short.
	 */
	STATUS_OF_TWO_DIGITS("HTTP/1.1 20 OK", Part.LENGTH, Part.BODY),

	/**
	 * A status that is too long.
	 */
	STATUS_OF_FOUR_DIGITS("HTTP/1.1 0200 OK", Part.LENGTH, Part.BODY),

	/**
	 * A status with a sign.
	 */
	STATUS_WITH_SIGN("HTTP/1.1 +200 OK", Part.LENGTH, Part.BODY),

	/**
	 * A negative status.
	 */
	STATUS_NEGATIVE("HTTP/1.1 -20 OK", Part.LENGTH, Part.BODY),

	/**
	 * A status that is no number.
	 */
	STATUS_NO_NUMBER("HTTP/1.1 2OO OK", Part.LENGTH, Part.BODY),

	/**
	 * A status line without a status.
	 */
	STATUS_MISSING("HTTP/1.1", Part.LENGTH, Part.BODY),

	/**
	 * A version of another major number.
	 */
	VERSION_UNSUPPORTED("HTTP/2.0 200 OK", Part.LENGTH, Part.BODY),

	/**
	 * A version of another protocol.
	 */
	VERSION_OF_ANOTHER_PROTOCOL("RTSP/1.1 200 OK", Part.LENGTH, Part.BODY),

	/**
	 * A version in lower case.
	 */
	VERSION_IN_LOWER_CASE("http/1.1 200 OK", Part.LENGTH, Part.BODY),

	/**
	 * A version with a number of two digits.
	 */
	VERSION_WITH_A_LONG_NUMBER("HTTP/1.10 200 OK", Part.LENGTH, Part.BODY),

	/**
	 * Two blanks in the status line.
	 */
	BLANKS_BEFORE_STATUS("HTTP/1.1  200 OK", Part.LENGTH, Part.BODY),

	/**
	 * A tab in the status line.
	 */
	TAB_BEFORE_STATUS("HTTP/1.1\t200 OK", Part.LENGTH, Part.BODY),

	/**
	 * A blank before the status line.
	 */
	BLANK_BEFORE_VERSION(" HTTP/1.1 200 OK", Part.LENGTH, Part.BODY),

	/**
	 * A control byte before the status line.
	 */
	CONTROL_BEFORE_VERSION("\u0001HTTP/1.1 200 OK", Part.LENGTH, Part.BODY),

	/**
	 * A control byte in the reason phrase.
	 */
	CONTROL_IN_REASON("HTTP/1.1 200 O\u0000K", Part.LENGTH, Part.BODY),

	/**
	 * A field name with a blank in it.
	 */
	BLANK_IN_NAME(Part.OK, "X-Field one: value\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A field name with a blank in it, of which the first part frames the body.
	 */
	BLANK_IN_NAME_OF_LENGTH(Part.OK, "Content-Length of: 2\r\n", Part.BODY),

	/**
	 * A blank between a field name and its colon.
	 */
	BLANK_AFTER_NAME(Part.OK, "X-Field : value\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A blank between the name of the length and its colon.
	 */
	BLANK_AFTER_NAME_OF_LENGTH(Part.OK, "Content-Length : 4\r\n", Part.BODY),

	/**
	 * A blank before the first field name.
	 */
	BLANK_BEFORE_FIRST_NAME(Part.OK + "\r\n X-Field: value", Part.LENGTH, Part.BODY),

	/**
	 * A field name with a tab in it.
	 */
	TAB_IN_NAME(Part.OK, "X-Field\tone: value\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A field name with a control byte in it.
	 */
	CONTROL_IN_NAME(Part.OK, "X-\u0001Field: value\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A control byte before a field name.
	 */
	CONTROL_BEFORE_NAME(Part.OK, "\u0001X-Field: value\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A control byte after a field name.
	 */
	CONTROL_AFTER_NAME(Part.OK, "X-Field\u001f: value\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A field name with a NUL in it.
	 */
	NUL_IN_NAME(Part.OK, "X-\u0000Field: value\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A field name with a DEL in it.
	 */
	DELETE_IN_NAME(Part.OK, "X-\u007fField: value\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A field name with a carriage return in it.
	 */
	CARRIAGE_RETURN_IN_NAME(Part.OK, "X-\rField: value\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A field name with a separator in it.
	 */
	SEPARATOR_IN_NAME(Part.OK, "X(Field): value\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A field name beyond ASCII.
	 */
	NAME_NOT_ASCII(Part.OK, "X-F\u00efeld: value\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * An empty field name.
	 */
	NAME_EMPTY(Part.OK, ": value\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A line without a colon.
	 */
	NO_COLON(Part.OK, "X-Field\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A field value with a NUL in it.
	 */
	NUL_IN_VALUE(Part.OK, "X-Field: va\u0000lue\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A field value with a control byte in it.
	 */
	CONTROL_IN_VALUE(Part.OK, "X-Field: va\u0001lue\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A field value with a DEL in it.
	 */
	DELETE_IN_VALUE(Part.OK, "X-Field: va\u007flue\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A field value with a carriage return in it.
	 */
	CARRIAGE_RETURN_IN_VALUE(Part.OK, "X-Field: va\rlue\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * A negative length.
	 */
	LENGTH_NEGATIVE(Part.OK, "Content-Length: -4\r\n", Part.BODY),

	/**
	 * A length with a sign.
	 */
	LENGTH_WITH_SIGN(Part.OK, "Content-Length: +4\r\n", Part.BODY),

	/**
	 * A length in hexadecimal digits.
	 */
	LENGTH_IN_HEX(Part.OK, "Content-Length: 0x4\r\n", Part.BODY),

	/**
	 * An empty length.
	 */
	LENGTH_EMPTY(Part.OK, "Content-Length:\r\n", Part.BODY),

	/**
	 * A length that is no number.
	 */
	LENGTH_NO_NUMBER(Part.OK, "Content-Length: four\r\n", Part.BODY),

	/**
	 * A length of two numbers.
	 */
	LENGTH_OF_TWO_NUMBERS(Part.OK, "Content-Length: 4 4\r\n", Part.BODY),

	/**
	 * A length beyond any range.
	 */
	LENGTH_TOO_LARGE(Part.OK, "Content-Length: 99999999999999999999\r\n", Part.BODY),

	/**
	 * Two lengths.
	 */
	LENGTHS_THAT_DIFFER(Part.OK, "Content-Length: 4\r\nContent-Length: 3\r\n", Part.BODY),

	/**
	 * A list of two lengths.
	 */
	LENGTHS_THAT_DIFFER_IN_A_LIST(Part.OK, "Content-Length: 4, 3\r\n", Part.BODY),

	/**
	 * Both a length and a coding.
	 */
	LENGTH_AND_CODING(Part.OK, Part.LENGTH + Part.CHUNKED, Part.CHUNKS),

	/**
	 * A coding that is not known.
	 */
	CODING_UNKNOWN(Part.OK, "Transfer-Encoding: gzip\r\n", Part.BODY),

	/**
	 * A coding under chunks.
	 */
	CODING_BEFORE_CHUNKED(Part.OK, "Transfer-Encoding: gzip, chunked\r\n", Part.CHUNKS),

	/**
	 * A coding over chunks.
	 */
	CODING_AFTER_CHUNKED(Part.OK, "Transfer-Encoding: chunked, gzip\r\n", Part.BODY),

	/**
	 * Chunks in chunks.
	 */
	CODING_TWICE(Part.OK, Part.CHUNKED + Part.CHUNKED, Part.CHUNKS),

	/**
	 * An empty coding.
	 */
	CODING_EMPTY(Part.OK, "Transfer-Encoding:\r\n" + Part.LENGTH, Part.BODY),

	/**
	 * Chunks in a version without them.
	 */
	CODING_OF_AN_OLD_VERSION("HTTP/1.0 200 OK", Part.CHUNKED, Part.CHUNKS),

	/**
	 * A negative chunk size.
	 */
	CHUNK_SIZE_NEGATIVE(Part.OK, Part.CHUNKED, "-4\r\nbody\r\n0\r\n\r\n"),

	/**
	 * A chunk size with a sign.
	 */
	CHUNK_SIZE_WITH_SIGN(Part.OK, Part.CHUNKED, "+4\r\nbody\r\n0\r\n\r\n"),

	/**
	 * A chunk size with a prefix.
	 */
	CHUNK_SIZE_WITH_PREFIX(Part.OK, Part.CHUNKED, "0x4\r\nbody\r\n0\r\n\r\n"),

	/**
	 * An empty chunk size.
	 */
	CHUNK_SIZE_EMPTY(Part.OK, Part.CHUNKED, "\r\nbody\r\n0\r\n\r\n"),

	/**
	 * A chunk size beyond any range.
	 */
	CHUNK_SIZE_TOO_LARGE(Part.OK, Part.CHUNKED, "fffffffffffffffff4\r\nbody\r\n0\r\n\r\n"),

	/**
	 * A chunk that goes on after its size.
	 */
	CHUNK_LONGER_THAN_ITS_SIZE(Part.OK, Part.CHUNKED, "4\r\nbody and more\r\n0\r\n\r\n"),

	/**
	 * A switch to another protocol that nobody asked for.
	 */
	SWITCH_OF_PROTOCOLS("HTTP/1.1 101 Switching Protocols", "Upgrade: other\r\nConnection: upgrade\r\n", Part.BODY),

	/**
	 * An informational response with a blank in a field name.
	 */
	INFORMATIONAL_WITH_BLANK_IN_NAME("HTTP/1.1 103 Early Hints\r\nX-Field one: value\r\n\r\n" + Part.OK, Part.LENGTH,
			Part.BODY),

	/**
	 * Text that is no response.
	 */
	TEXT("Internal error", "", Part.BODY);

	private final String statusLine;

	private final String fields;

	private final String content;

	MalformedResponse(String statusLine, String fields, String content) {
		this.statusLine = statusLine;
		this.fields = fields;
		this.content = content;
	}

	/**
	 * Returns the bytes of the response.
	 * @param moreFields well-formed lines to put before its own fields, each with its end
	 * @return the bytes
	 */
	public byte[] bytes(String moreFields) {
		return (this.statusLine + "\r\n" + moreFields + this.fields + "\r\n" + this.content)
			.getBytes(StandardCharsets.ISO_8859_1);
	}

	/**
	 * Well-formed parts.
	 */
	private static final class Part {

		static final String OK = "HTTP/1.1 200 OK";

		static final String LENGTH = "Content-Length: 4\r\n";

		static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

		static final String BODY = "body";

		static final String CHUNKS = "4\r\nbody\r\n0\r\n\r\n";

	}

}
