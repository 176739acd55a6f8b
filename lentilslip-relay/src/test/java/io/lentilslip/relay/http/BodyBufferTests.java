package io.lentilslip.relay.http;

import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BodyBufferTests {

	@Test
	void bytesAreThoseReceived() {
		for (OptionalInt announced : new OptionalInt[] { OptionalInt.empty(), OptionalInt.of(11), OptionalInt.of(5) }) {
			BodyBuffer body = new BodyBuffer(announced);
			for (String part : new String[] { "a", "", "bcd", "efghij", "k" }) {
				body.append(bytes(part));
			}
			assertThat(body.size()).isEqualTo(11);
			assertThat(new String(body.toBytes(), StandardCharsets.ISO_8859_1)).isEqualTo("abcdefghijk");
		}
	}

	// Guards against memory for a length that is announced and not sent.
	@Test
	void memoryFollowsWhatIsReceived() {
		BodyBuffer body = new BodyBuffer(OptionalInt.of(4_000_000));
		body.append(bytes("0123456789"));
		assertThat(body.capacity()).isLessThanOrEqualTo(20);
	}

	// Guards against a second copy of a large body.
	@Test
	void wholeBodyOfAnAnnouncedLengthIsNotCopied() {
		BodyBuffer body = new BodyBuffer(OptionalInt.of(9));
		body.append(bytes("01234"));
		body.append(bytes("5678"));
		assertThat(body.capacity()).isEqualTo(9);
		assertThat(body.toBytes()).isSameAs(body.toBytes());
	}

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
	}

}
