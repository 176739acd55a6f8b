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
	private static final int EVENT_BYTES = 1024 * 1024;

	private static final String NUMBER = "id:";

	private static final String DATA = "data:";

	private ByteArrayOutputStream event = new ByteArrayOutputStream();

	private int lineLength;

	private long number;

	/**
	 * Takes bytes.
	 * @param bytes the bytes
	 * @param sink takes the events that are whole now
	 * @return whether the bytes were readable as events
	 */
	boolean read(ByteBuf bytes, Sink sink) {
		while (bytes.isReadable()) {
			byte next = bytes.readByte();
			this.event.write(next);
			if (next == '\r') {
				continue;
			}
			if (next != '\n') {
				this.lineLength++;
				continue;
			}
			if (this.lineLength == 0 && !end(sink)) {
				return false;
			}
			this.lineLength = 0;
		}
		return this.event.size() <= EVENT_BYTES;
	}

	/**
	 * Returns whether a part of an event is held back.
	 * @return whether it is
	 */
	boolean partial() {
		return this.event.size() > 0;
	}

	private boolean end(Sink sink) {
		byte[] raw = this.event.toByteArray();
		this.event = new ByteArrayOutputStream();
		String text = new String(raw, StandardCharsets.ISO_8859_1);
		StringBuilder data = new StringBuilder();
		boolean any = false;
		long next = this.number + 1;
		for (String line : text.split("\r?\n")) {
			if (line.startsWith(NUMBER)) {
				try {
					next = Long.parseLong(line.substring(NUMBER.length()).strip());
				}
				catch (NumberFormatException ex) {
					return false;
				}
			}
			else if (line.startsWith(DATA)) {
				data.append(any ? "\n" : "").append(value(line));
				any = true;
			}
		}
		if (any) {
			this.number = next;
			sink.event(next, raw, data.toString().getBytes(StandardCharsets.ISO_8859_1));
		}
		return true;
	}

	private static String value(String line) {
		String value = line.substring(DATA.length());
		return value.startsWith(" ") ? value.substring(1) : value;
	}

	/**
	 * Takes whole events. Used by one stream.
	 */
	interface Sink {

		/**
		 * An event.
		 * @param number its number
		 * @param raw its bytes as they came
		 * @param data its data
		 */
		void event(long number, byte[] raw, byte[] data);

	}

}
