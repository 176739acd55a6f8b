package io.lentilslip.relay.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;

/**
 * Incremental parser of server-sent events. An event is buffered until it is complete, so
 * that a stream interrupted within an event can be resumed on another upstream without
 * duplicate data. Used by one stream.
 */
final class EventParser {

	/**
	 * The maximum size of one event, in bytes.
	 */
	private static final int MAX_EVENT_BYTES = 1024 * 1024;

	/**
	 * The maximum number of events without data, such as comments, between two events.
	 * Each costs as much time as one with data.
	 */
	private static final int MAX_EMPTY_EVENTS = 1_000;

	private static final String ID_FIELD = "id:";

	private static final String DATA_FIELD = "data:";

	private ByteArrayOutputStream buffer = new ByteArrayOutputStream();

	private boolean lineHasText;

	private int emptyEvents;

	private long lastNumber;

	/**
	 * Parses the next bytes of the stream.
	 * @param bytes the bytes
	 * @param sink receives the events completed by these bytes
	 * @return {@code false} if an event has an invalid id or is too large, or if too many
	 * have no data
	 */
	boolean read(ByteBuf bytes, Sink sink) {
		while (bytes.isReadable()) {
			int lineLength = bytes.bytesBefore((byte) '\n');
			boolean ended = lineLength >= 0;
			byte[] part = new byte[ended ? lineLength + 1 : bytes.readableBytes()];
			bytes.readBytes(part);
			this.buffer.writeBytes(part);
			this.lineHasText = this.lineHasText || hasText(part);
			if (!ended) {
				break;
			}
			if (!this.lineHasText && !dispatch(sink)) {
				return false;
			}
			this.lineHasText = false;
		}
		return this.buffer.size() <= MAX_EVENT_BYTES;
	}

	/**
	 * Returns the size of the event that is not complete.
	 * @return the number of bytes; zero if there is none
	 */
	int partialBytes() {
		return this.buffer.size();
	}

	private boolean dispatch(Sink sink) {
		byte[] raw = this.buffer.toByteArray();
		this.buffer = new ByteArrayOutputStream();
		String text = new String(raw, StandardCharsets.ISO_8859_1);
		StringBuilder data = new StringBuilder();
		boolean hasData = false;
		long eventNumber = this.lastNumber + 1;
		for (int start = 0; start < text.length(); start = text.indexOf('\n', start) + 1) {
			String line = line(text, start);
			if (line.startsWith(ID_FIELD)) {
				try {
					eventNumber = Long.parseLong(line.substring(ID_FIELD.length()).strip());
				}
				catch (NumberFormatException ex) {
					return false;
				}
			}
			else if (line.startsWith(DATA_FIELD)) {
				data.append(hasData ? "\n" : "").append(value(line));
				hasData = true;
			}
		}
		if (hasData) {
			this.lastNumber = eventNumber;
			this.emptyEvents = 0;
			sink.onEvent(eventNumber, raw, data.toString().getBytes(StandardCharsets.ISO_8859_1));
			return true;
		}
		this.emptyEvents++;
		return this.emptyEvents <= MAX_EMPTY_EVENTS;
	}

	private static boolean hasText(byte[] part) {
		for (byte next : part) {
			if (next != '\r' && next != '\n') {
				return true;
			}
		}
		return false;
	}

	// The text ends with a line feed.
	private static String line(String text, int start) {
		int end = text.indexOf('\n', start);
		return text.substring(start, (end > start && text.charAt(end - 1) == '\r') ? end - 1 : end);
	}

	private static String value(String line) {
		String value = line.substring(DATA_FIELD.length());
		return value.startsWith(" ") ? value.substring(1) : value;
	}

	/**
	 * Receives complete events. Used by one stream.
	 */
	interface Sink {

		/**
		 * Called for each complete event.
		 * @param number the event's number
		 * @param raw the event as received
		 * @param data the event's data
		 */
		void onEvent(long number, byte[] raw, byte[] data);

	}

}
