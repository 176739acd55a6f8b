package io.lentilslip.relay.http;

import java.util.List;
import java.util.Optional;

import io.lentilslip.core.http.ResponseSyntax;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Response decoder for all connections on which responses are read. The lines of a head
 * are checked as they were received, and decoded once the head is complete. A response
 * that is not valid becomes one whose decoding has failed, and what follows it on its
 * connection is dropped. Used by one connection.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {

	/**
	 * The maximum size of a head, in bytes. At least as large as what the library
	 * decodes.
	 */
	private static final int MAX_HEAD_BYTES = 16 * 1024;

	private static final int LINE_END_BYTES = 2;

	private boolean atHead = true;

	private boolean invalid;

	/**
	 * The lines of the head that were checked, and their bytes.
	 */
	private int checkedLines;

	private int checkedBytes;

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.invalid) {
			buffer.skipBytes(buffer.readableBytes());
			return;
		}
		if (this.atHead && !checkHead(buffer, out)) {
			return;
		}
		super.decode(ctx, buffer, out);
		for (Object message : out) {
			if (message instanceof HttpResponse response && !isFramed(response)) {
				out.forEach(ReferenceCountUtil::release);
				out.clear();
				fail(buffer, out, InvalidPart.FRAMING);
				return;
			}
			this.invalid = this.invalid || ((HttpObject) message).decoderResult().isFailure();
			this.atHead = message instanceof LastHttpContent;
		}
	}

	/**
	 * Checks the lines of a head that were not checked before.
	 * @param buffer the bytes that were not decoded, from the beginning of the head on
	 * @param out receives a response that is not valid
	 * @return whether the head is complete and can be decoded
	 */
	private boolean checkHead(ByteBuf buffer, List<Object> out) {
		int start = buffer.readerIndex() + this.checkedBytes;
		int lineFeed = buffer.indexOf(start, buffer.writerIndex(), (byte) '\n');
		while (lineFeed >= 0) {
			int length = lineFeed + 1 - LINE_END_BYTES - start;
			if (length < 0 || buffer.getByte(lineFeed - 1) != '\r') {
				fail(buffer, out, InvalidPart.LINE_END);
				return false;
			}
			if (length == 0 && this.checkedLines > 0) {
				this.checkedLines = 0;
				this.checkedBytes = 0;
				return true;
			}
			if (!isValid(ByteBufUtil.getBytes(buffer, start, length))) {
				fail(buffer, out, (this.checkedLines == 0) ? InvalidPart.STATUS_LINE : InvalidPart.FIELD);
				return false;
			}
			this.checkedLines++;
			start = lineFeed + 1;
			lineFeed = buffer.indexOf(start, buffer.writerIndex(), (byte) '\n');
		}
		this.checkedBytes = start - buffer.readerIndex();
		if (buffer.readableBytes() > MAX_HEAD_BYTES) {
			fail(buffer, out, InvalidPart.HEAD_SIZE);
		}
		return false;
	}

	/**
	 * Returns what this class has found not to be valid in a response.
	 * @param response the response
	 * @return the part, or empty if it is valid or the library has failed to decode it
	 */
	public static Optional<InvalidPart> invalidPart(HttpResponse response) {
		return Optional.ofNullable(response.decoderResult().cause())
			.filter(InvalidResponseException.class::isInstance)
			.map((cause) -> ((InvalidResponseException) cause).part);
	}

	private boolean isValid(byte[] line) {
		return (this.checkedLines == 0) ? ResponseSyntax.isStatusLine(line)
				: ResponseSyntax.isFieldLine(line, this.checkedLines == 1);
	}

	private static boolean isFramed(HttpResponse response) {
		return response.decoderResult().isFailure()
				|| ResponseSyntax.isFramed(response.headers().getAll(HttpHeaderNames.CONTENT_LENGTH),
						response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING),
						response.protocolVersion().minorVersion() > 0);
	}

	private void fail(ByteBuf buffer, List<Object> out, InvalidPart part) {
		this.invalid = true;
		buffer.skipBytes(buffer.readableBytes());
		HttpMessage message = createInvalidMessage();
		message.setDecoderResult(DecoderResult.failure(new InvalidResponseException(part)));
		out.add(message);
	}

	/**
	 * Indicates a response that is not valid.
	 */
	private static final class InvalidResponseException extends RuntimeException {

		private final InvalidPart part;

		InvalidResponseException(InvalidPart part) {
			super("Invalid response: " + part, null, false, false);
			this.part = part;
		}

	}

}
