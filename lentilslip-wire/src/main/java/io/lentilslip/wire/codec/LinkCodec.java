package io.lentilslip.wire.codec;

import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.wire.generated.LinkProtocol;
import io.vavr.control.Either;

/**
 * Codec between link messages and the bytes of one frame. Times are written in
 * nanoseconds and negative ones as zero; texts must be valid Unicode. Stateless and safe
 * for use by several threads.
 */
public final class LinkCodec {

	private LinkCodec() {
	}

	/**
	 * Writes a message.
	 * @param message the message
	 * @return the bytes of one frame
	 */
	public static byte[] encode(LinkMessage message) {
		return LinkWriter.write(message).toByteArray();
	}

	/**
	 * Reads a message.
	 * @param bytes the bytes of one frame
	 * @return the message, or why there is none
	 */
	public static Either<CodecProblem, LinkMessage> decode(byte[] bytes) {
		return Fields.decode(() -> read(LinkProtocol.LinkEnvelope.parseFrom(bytes)));
	}

	private static LinkMessage read(LinkProtocol.LinkEnvelope envelope) {
		return new LinkReader(Fields.version(envelope.getVersion())).message(envelope);
	}

}
