package io.lentilslip.relay.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class StrictResponseDecoderTests {

	private static final String NEXT = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext";

	private EmbeddedChannel channel = new EmbeddedChannel(new StrictResponseDecoder());

	@AfterEach
	void close() {
		this.channel.finishAndReleaseAll();
	}

	// Guards against failing responses that are valid, and against a check that begins
	// within a body.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.0 599 \u00fcber\tall\r\nContent-Length:4\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\ncontent-length: \t 4 \t\r\nX-Empty:\r\n!#$%&'*+-.^_`|~0aZ: \u00ff\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nX-Colons: a:b: c\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nX-Long: a\r\n b\r\n\tc\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n\u0000 \n\r",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2;a=b\r\nbo\r\n02\r\ndy\r\n0\r\nX: y\r\n\r\n" })
	void validResponseIsDecodedHoweverItIsSplit(String response) {
		for (int cut = 0; cut <= response.length(); cut++) {
			this.channel = new EmbeddedChannel(new StrictResponseDecoder());
			this.channel.writeInbound(bytes(response.substring(0, cut)));
			this.channel.writeInbound(bytes(response.substring(cut) + NEXT));
			assertThat(decoded()).as("cut at %d", cut).hasSize(2).allMatch((text) -> text.endsWith(" 4 bytes"));
			close();
		}
	}

	@Test
	void bytesAfterAnInvalidHeadAreDropped() {
		this.channel.writeInbound(bytes("HTTP/1.1 000 Trouble\r\n"));
		this.channel.writeInbound(bytes("Content-Length: 4\r\n\r\nbody" + NEXT));
		HttpResponse response = this.channel.readInbound();
		assertThat(StrictResponseDecoder.invalidPart(response)).contains(InvalidPart.STATUS_LINE);
		assertThat((Object) this.channel.readInbound()).isNull();
	}

	// Guards against a head without end that is kept.
	@Test
	void headWithoutEndIsInvalid() {
		this.channel.writeInbound(bytes("HTTP/1.1 200 OK\r\n"));
		for (int i = 0; i < 20; i++) {
			this.channel.writeInbound(bytes("X-Field: value\r\n".repeat(64)));
		}
		HttpResponse response = this.channel.readInbound();
		assertThat(StrictResponseDecoder.invalidPart(response)).contains(InvalidPart.HEAD_SIZE);
	}

	// RFC 9112 lets a recipient join the lines of a value.
	@Test
	void continuedValueIsJoined() {
		this.channel.writeInbound(bytes("HTTP/1.1 204 None\r\nX-Long: a\r\n  b\r\n\r\n"));
		HttpResponse response = this.channel.readInbound();
		assertThat(response.headers().get("X-Long")).isEqualTo("a b");
	}

	// Guards against trailers that change what the head said.
	@Test
	void trailersAreNoPartOfTheHead() {
		this.channel.writeInbound(bytes("HTTP/1.1 200 OK\r\nX-Field: head\r\nTransfer-Encoding: chunked\r\n\r\n"
				+ "0\r\nX-Field: trailer\r\nX-Other: trailer\r\n\r\n"));
		HttpResponse response = this.channel.readInbound();
		assertThat(response.headers().getAll("X-Field")).containsExactly("head");
		assertThat(response.headers().contains("X-Other")).isFalse();
	}

	private List<String> decoded() {
		List<String> responses = new ArrayList<>();
		int length = 0;
		Object message = this.channel.readInbound();
		while (message != null) {
			length += (message instanceof HttpContent content) ? content.content().readableBytes() : 0;
			if (message instanceof LastHttpContent) {
				responses.add("response of " + length + " bytes");
				length = 0;
			}
			ReferenceCountUtil.release(message);
			message = this.channel.readInbound();
		}
		return responses;
	}

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
	}

}
