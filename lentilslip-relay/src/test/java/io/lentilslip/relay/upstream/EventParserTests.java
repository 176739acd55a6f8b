package io.lentilslip.relay.upstream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventParserTests {

	private static final String STREAM = "id: 1\ndata: one\n\nid: 2\ndata: a\ndata: b\n\n: note\n\nid: 3\ndata: three\n\n";

	private final List<String> events = new ArrayList<>();

	private final List<String> raw = new ArrayList<>();

	private final EventParser parser = new EventParser();

	@Property(tries = 100)
	void eventsDoNotDependOnChunkBoundaries(@ForAll @IntRange(min = 1, max = 9) int size) {
		EventParserTests chunked = new EventParserTests();
		for (int at = 0; at < STREAM.length(); at += size) {
			assertThat(chunked.read(STREAM.substring(at, Math.min(STREAM.length(), at + size)))).isTrue();
		}
		assertThat(chunked.events).containsExactly("1=one", "2=a\nb", "3=three");
		assertThat(chunked.parser.partialBytes()).isZero();
	}

	@Test
	void rawBytesOfAnEventAreUnchanged() {
		read("id: 1\r\ndata: x\r\n\r\n");
		assertThat(this.raw).containsExactly("id: 1\r\ndata: x\r\n\r\n");
	}

	// An upstream fails within an event. Guards against duplicate data when the stream is
	// resumed on another upstream.
	@Test
	void partialEventIsBuffered() {
		read("id: 1\ndata: one\n\nid: 2\nda");
		assertThat(this.events).containsExactly("1=one");
		assertThat(this.parser.partialBytes()).isPositive();
	}

	@Test
	void eventWithoutAnIdIncrementsTheNumber() {
		read("id: 4\ndata: x\n\ndata: y\n\n");
		assertThat(this.events).containsExactly("4=x", "5=y");
	}

	// Guards against an upstream whose comments without end take the time of other
	// requests.
	@Test
	void commentsWithoutEndAreRejected() {
		assertThat(read(": note\n\n".repeat(1_000))).isTrue();
		assertThat(read("data: x\n\n")).isTrue();
		assertThat(read(": note\n\n".repeat(1_000))).isTrue();
		assertThat(read("\n")).isFalse();
	}

	@Test
	void nonNumericIdIsRejected() {
		assertThat(read("id: x1\ndata: y\n\n")).isFalse();
	}

	private boolean read(String text) {
		return this.parser.read(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1), (number, bytes, data) -> {
			this.events.add(number + "=" + new String(data, StandardCharsets.ISO_8859_1));
			this.raw.add(new String(bytes, StandardCharsets.ISO_8859_1));
		});
	}

}
