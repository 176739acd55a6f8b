package io.lentilslip.relay.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;

/**
 * Cuts a stream of server-sent events into whole events. A part of an event is held back
 * until its rest is in, so that a stream that breaks off in the middle of one can go on
 * elsewhere without a piece twice. Used by one stream.
 */
final class EventParser {

	/**
	 * The most bytes of one event; a longer one is no event of an engine.
	 */
	private static final int MAX_EVENT_BYTES = 1024 * 1024;

	private static final String ID_FIELD = "id:";

	private static final String DATA_FIELD = "data:";

	private ByteArrayOutputStream buffer = new ByteArrayOutputStream();

	private int lineLength;

	private long lastNumber;

	/**
	 * Takes bytes.
	 * @param bytes the bytes
	 * @param sink takes the events that are whole now
	 * @return whether the bytes were readable as events
	 */
	boolean read(ByteBuf bytes, Sink sink) {
		while (bytes.isReadable()) {
			byte next = bytes.readByte();
			this.buffer.write(next);
			if (next == '\r') {
				continue;
			}
			if (next != '\n') {
				this.lineLength++;
				continue;
			}
			if (this.lineLength == 0 && !dispatch(sink)) {
				return false;
			}
			this.lineLength = 0;
		}
		return this.buffer.size() <= MAX_EVENT_BYTES;
	}

	/**
	 * Returns whether a part of an event is held back.
	 * @return whether it is
	 */
	boolean hasPartialEvent() {
		return this.buffer.size() > 0;
	}

	private boolean dispatch(Sink sink) {
		byte[] raw = this.buffer.toByteArray();
		this.buffer = new ByteArrayOutputStream();
		String text = new String(raw, StandardCharsets.ISO_8859_1);
		StringBuilder data = new StringBuilder();
		boolean hasData = false;
		long eventNumber = this.lastNumber + 1;
		for (String line : text.split("\r?\n")) {
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
			sink.onEvent(eventNumber, raw, data.toString().getBytes(StandardCharsets.ISO_8859_1));
		}
		return true;
	}

	private static String value(String line) {
		String value = line.substring(DATA_FIELD.length());
		return value.startsWith(" ") ? value.substring(1) : value;
	}

	/**
	 * Takes whole events. Used by one stream.
	 */
	interface Sink {

		/**
		 * An event.
		 * @param lastNumber its number
		 * @param raw its bytes as they came
		 * @param data its data
		 */
		void onEvent(long number, byte[] raw, byte[] data);

	}

}
