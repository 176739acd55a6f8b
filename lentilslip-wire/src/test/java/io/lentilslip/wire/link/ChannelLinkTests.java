package io.lentilslip.wire.link;

import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

import io.lentilslip.core.call.Body;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.wire.codec.CodecProblem;
import io.lentilslip.wire.generated.LinkProtocol;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class ChannelLinkTests {

	private static final int LATER_VERSION = 2;

	private final EmbeddedPeer client = new EmbeddedPeer(LinkSide.CLIENT);

	private final EmbeddedPeer server = new EmbeddedPeer(LinkSide.SERVER);

	@BeforeEach
	void open() {
		EmbeddedPeer.exchange(this.client, this.server);
	}

	@AfterEach
	void close() {
		this.client.close();
		this.server.close();
	}

	@Test
	void deliversMessagesInTheirOrder() {
		List<LinkMessage> messages = IntStream.range(0, 100).<LinkMessage>mapToObj(EmbeddedPeer::cancel).toList();
		messages.forEach((message) -> assertThat(this.client.link().send(message)).isEqualTo(SendResult.ACCEPTED));
		EmbeddedPeer.exchange(this.client, this.server);
		assertThat(this.server.listener.received).isEqualTo(messages);
		assertThat(this.client.link().pendingBytes()).isZero();
	}

	// The greeting and the first call arrive in one packet, the call larger than a frame
	// of the handshake. The link must be open, with its larger frames, before the call.
	@Test
	void deliversALargeMessageThatArrivesWithTheGreeting() {
		try (EmbeddedPeer fresh = new EmbeddedPeer(LinkSide.SERVER);
				EmbeddedPeer caller = new EmbeddedPeer(LinkSide.CLIENT)) {
			caller.receive(fresh.written());
			fresh.receive(caller.written());
			caller.receive(fresh.written());
			LinkMessage offer = offer(EmbeddedPeer.FRAME_BYTES / 2);
			assertThat(caller.link().send(offer)).isEqualTo(SendResult.ACCEPTED);
			fresh.receive(caller.written());
			assertThat(fresh.listener.received).containsExactly(offer);
		}
	}

	@Test
	void refusesToSendWhatOnlyTheOtherSideMaySend() {
		assertThatIllegalArgumentException().isThrownBy(() -> this.client.link().send(EmbeddedPeer.delta(1)));
		assertThatIllegalArgumentException().isThrownBy(() -> this.server.link().send(EmbeddedPeer.cancel(1)));
	}

	// A peer that knows the secret but is no sidecar sends a part of an answer to a
	// sidecar. The link ends, also for the messages right behind it.
	@Test
	void endsForAMessageOfTheOtherDirection() {
		byte[] wrong = EmbeddedPeer.frame(EmbeddedPeer.delta(1));
		byte[] right = EmbeddedPeer.frame(EmbeddedPeer.cancel(1));
		this.server.receive(ByteBufUtil.getBytes(Unpooled.wrappedBuffer(wrong, right)));
		assertThat(this.server.closed()).isEqualTo(LinkClosure.UNEXPECTED_FRAME);
		assertThat(this.server.listener.received).isEmpty();
	}

	@Test
	void endsForASecondGreeting() {
		this.server.receive(EmbeddedPeer.frame(EmbeddedPeer.hello("another")));
		assertThat(this.server.closed()).isEqualTo(LinkClosure.UNEXPECTED_FRAME);
	}

	// A peer of a later version sends a message that this version does not know. It is
	// reported; the calls of other messages on the link go on.
	@Test
	void goesOnAfterAMessageOfAnUnknownKind() {
		this.server
			.receive(EmbeddedPeer.frame(LinkProtocol.LinkEnvelope.newBuilder().setVersion(LATER_VERSION).build()));
		this.server.receive(EmbeddedPeer.frame(EmbeddedPeer.cancel(1)));
		assertThat(this.server.listener.unread).containsExactly(new CodecProblem.UnknownKind("message", LATER_VERSION));
		assertThat(this.server.listener.received).containsExactly(EmbeddedPeer.cancel(1));
		assertThat(this.server.counters.unread()).isEqualTo(1);
	}

	@Test
	void endsForAMessageThatCannotBeRead() {
		this.server.receive(EmbeddedPeer.frame(new byte[] { 1, 2, 3 }));
		assertThat(this.server.closed()).isEqualTo(LinkClosure.MALFORMED_FRAME);
	}

	@Test
	void endsForAnOversizedFrame() {
		this.server.receive(ByteBufUtil.getBytes(Unpooled.copyInt(EmbeddedPeer.FRAME_BYTES + 1)));
		assertThat(this.server.closed()).isEqualTo(LinkClosure.OVERSIZED_FRAME);
	}

	@Test
	void goesOnAfterAMessageThatIsTooLargeToSend() {
		assertThat(this.client.link().send(offer(EmbeddedPeer.FRAME_BYTES))).isEqualTo(SendResult.TOO_LARGE);
		assertThat(this.client.link().send(EmbeddedPeer.cancel(1))).isEqualTo(SendResult.ACCEPTED);
	}

	// A peer does not read, so that nothing can be written. Messages wait up to the
	// bound;
	// the one that would pass it ends the link, and memory does not grow further.
	@Test
	void endsWhenTooManyBytesWait() {
		this.client.channel.pipeline().addFirst(new StalledSocket());
		LinkMessage message = offer(EmbeddedPeer.FRAME_BYTES / 2);
		SendResult result = this.client.link().send(message);
		int sent = 1;
		while (result == SendResult.ACCEPTED && sent < 10) {
			assertThat(this.client.link().pendingBytes()).isLessThanOrEqualTo(EmbeddedPeer.PENDING_BYTES);
			result = this.client.link().send(message);
			sent++;
		}
		assertThat(result).isEqualTo(SendResult.OVERLOADED);
		assertThat(sent).isEqualTo(4);
		assertThat(this.client.closed()).isEqualTo(LinkClosure.OVERLOADED);
		assertThat(this.client.link().send(message)).isEqualTo(SendResult.CLOSED);
		assertThat(this.client.link().pendingBytes()).isZero();
	}

	// The peer's connection ends in the middle of a frame, as when its VM is replaced.
	// What was whole is delivered, what was cut is not, and the end is reported.
	@Test
	void dropsAMessageCutShort() {
		byte[] whole = EmbeddedPeer.frame(EmbeddedPeer.cancel(1));
		byte[] cut = Arrays.copyOf(EmbeddedPeer.frame(EmbeddedPeer.cancel(2)), whole.length - 1);
		this.server.receive(ByteBufUtil.getBytes(Unpooled.wrappedBuffer(whole, cut)));
		this.server.channel.close();
		assertThat(this.server.listener.received).containsExactly(EmbeddedPeer.cancel(1));
		assertThat(this.server.closed()).isEqualTo(LinkClosure.CLOSED_BY_PEER);
	}

	// A process stops: it sends its last messages and closes. They leave before the
	// connection does, and what arrives after the close is not delivered any more.
	@Test
	void writesWhatWasAcceptedBeforeItCloses() {
		this.server.link().send(EmbeddedPeer.delta(1));
		this.server.link().close();
		this.server.receive(EmbeddedPeer.frame(EmbeddedPeer.cancel(1)));
		this.client.receive(this.server.written());
		assertThat(this.client.listener.received).containsExactly(EmbeddedPeer.delta(1));
		assertThat(this.server.listener.received).isEmpty();
		assertThat(this.server.closed()).isEqualTo(LinkClosure.CLOSED_HERE);
	}

	// A fault in the code above a link shows itself as an exception from the listener.
	// That link ends and is reported; the event loop and its other links go on.
	@Test
	void endsForAListenerThatThrows() {
		RecordingListener faulty = new RecordingListener() {

			@Override
			public void received(Link link, LinkMessage message) {
				throw new IllegalStateException("a fault");
			}

		};
		try (EmbeddedPeer peer = new EmbeddedPeer(LinkSide.SERVER, EmbeddedPeer.SETTINGS, faulty);
				EmbeddedPeer caller = new EmbeddedPeer(LinkSide.CLIENT)) {
			EmbeddedPeer.exchange(caller, peer);
			peer.receive(EmbeddedPeer.frame(EmbeddedPeer.cancel(1)));
			assertThat(peer.closed()).isEqualTo(LinkClosure.FAILED);
		}
	}

	private static LinkMessage offer(int bytes) {
		return new LinkMessage.ConfigurationOffer(1, Body.of(new byte[bytes]));
	}

	/**
	 * A socket whose peer does not read: writes neither succeed nor fail until it closes.
	 */
	private static final class StalledSocket extends ChannelOutboundHandlerAdapter {

		private final List<ChannelPromise> waiting = new ArrayList<>();

		@Override
		public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
			ReferenceCountUtil.release(message);
			this.waiting.add(promise);
		}

		@Override
		public void close(ChannelHandlerContext context, ChannelPromise promise) {
			this.waiting.forEach((write) -> write.tryFailure(new ClosedChannelException()));
			context.close(promise);
		}

	}

}
