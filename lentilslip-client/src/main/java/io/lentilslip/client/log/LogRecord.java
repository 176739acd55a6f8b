package io.lentilslip.client.log;

import java.time.Instant;
import java.util.Objects;

/**
 * A record of a stream. Safe for use by several threads as long as nobody changes the
 * bytes, which are not copied.
 *
 * @param offset the offset of the record
 * @param time the log's time of the record
 * @param data the bytes of the record
 */
public record LogRecord(long offset, Instant time, byte[] data) {

	/**
	 * Creates a record.
	 * @param offset the offset of the record
	 * @param time the log's time of the record
	 * @param data the bytes of the record
	 */
	public LogRecord {
		Objects.requireNonNull(time, "time");
		Objects.requireNonNull(data, "data");
	}

}
