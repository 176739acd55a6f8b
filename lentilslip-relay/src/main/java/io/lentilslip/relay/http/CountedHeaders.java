package io.lentilslip.relay.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Headers that are held in a budget as they are decoded, by the memory that they take: a
 * short line takes many times its length. Used by one connection.
 */
final class CountedHeaders extends DefaultHttpHeaders {

	/**
	 * The bytes that a line takes besides its characters: an entry of the headers, two
	 * strings and their arrays.
	 */
	static final int LINE_BYTES = 136;

	private final Holder holder;

	private CountedHeaders(DefaultHttpHeadersFactory validation, Holder holder) {
		super(validation.getNameValidator(), validation.getValueValidator());
		this.holder = holder;
	}

	/**
	 * Returns a factory of counted headers.
	 * @param validation how names and values are validated
	 * @param holder holds the bytes of each line
	 * @return the factory
	 */
	static HttpHeadersFactory factory(DefaultHttpHeadersFactory validation, Holder holder) {
		return new HttpHeadersFactory() {

			@Override
			public HttpHeaders newHeaders() {
				return new CountedHeaders(validation, holder);
			}

			@Override
			public HttpHeaders newEmptyHeaders() {
				return newHeaders();
			}

		};
	}

	@Override
	public HttpHeaders add(CharSequence name, Object value) {
		hold(name, value);
		return super.add(name, value);
	}

	@Override
	public HttpHeaders add(String name, Object value) {
		hold(name, value);
		return super.add(name, value);
	}

	private void hold(CharSequence name, Object value) {
		if (!this.holder.tryHold(LINE_BYTES + name.length() + value.toString().length())) {
			throw new NoRoomException();
		}
	}

	/**
	 * Holds the bytes of lines. Used by one connection.
	 */
	@FunctionalInterface
	interface Holder {

		/**
		 * Holds bytes if there is room.
		 * @param bytes the number of bytes
		 * @return whether they are held
		 */
		boolean tryHold(int bytes);

	}

	/**
	 * Indicates that there is no room for a line.
	 */
	static final class NoRoomException extends RuntimeException {

		NoRoomException() {
			super("No room for a header", null, false, false);
		}

	}

}
