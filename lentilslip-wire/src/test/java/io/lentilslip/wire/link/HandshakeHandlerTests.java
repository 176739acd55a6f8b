package io.lentilslip.wire.link;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.lentilslip.wire.generated.LinkProtocol;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HandshakeHandlerTests {

	private static final int LENGTH_BYTES = 4;

	private final EmbeddedPeer client = new EmbeddedPeer(LinkSide.CLIENT);

	private final EmbeddedPeer server = new EmbeddedPeer(LinkSide.SERVER);

	@AfterEach
	void close() {
		this.client.close();
		this.server.close();
	}

	@Test
	void opensALinkBetweenPeersOfOneSecret() {
		EmbeddedPeer.exchange(this.client, this.server);
		assertThat(this.server.link().peer()).isEqualTo(EmbeddedPeer.hello("CLIENT"));
		assertThat(this.client.link().peer()).isEqualTo(EmbeddedPeer.hello("SERVER"));
	}

	// Somebody connects who does not know the secret, or an operator gave one process
	// another. The server ends the connection, counts it, and no message is read.
	@Test
	void refusesAClientWithAnotherSecret() {
		LinkSettings other = EmbeddedPeer.settings(LinkSecret.of("a secret of another site"));
		try (EmbeddedPeer stranger = new EmbeddedPeer(LinkSide.CLIENT, other, new RecordingListener())) {
			EmbeddedPeer.exchange(stranger, this.server);
			assertThat(this.server.refused()).isEqualTo(LinkClosure.WRONG_PROOF);
			assertThat(this.server.counters.refused(LinkClosure.WRONG_PROOF)).isEqualTo(1);
			assertThat(stranger.link()).isNull();
		}
	}

	// A program listens at the address of a sidecar that has gone and knows no secret. It
	// sends the client's own proof back, which a proof without a side would let pass.
	@Test
	void refusesItsOwnProofSentBack() throws InvalidProtocolBufferException {
		this.client.receive(this.server.written());
		LinkProtocol.HandshakeFrame answer = handshakeFrame(this.client.written());
		LinkProtocol.ServerProof echo = LinkProtocol.ServerProof.newBuilder()
			.setProof(answer.getClientProof().getProof())
			.build();
		this.client.receive(EmbeddedPeer.frame(LinkProtocol.HandshakeFrame.newBuilder().setServerProof(echo).build()));
		assertThat(this.client.refused()).isEqualTo(LinkClosure.WRONG_PROOF);
		assertThat(this.client.written()).isEmpty();
	}

	// Somebody recorded the bytes of a client that opened a link, and sends them again.
	// The new connection has another nonce, so the old proof does not fit it.
	@Test
	void refusesARecordedProof() {
		this.client.receive(this.server.written());
		byte[] recorded = this.client.written();
		try (EmbeddedPeer later = new EmbeddedPeer(LinkSide.SERVER)) {
			later.receive(recorded);
			assertThat(later.refused()).isEqualTo(LinkClosure.WRONG_PROOF);
		}
	}

	// A forged message arrives on the port of a sidecar, without a handshake. Behind it,
	// in the same packet, come further frames. Nothing of it reaches the listener.
	@Test
	void refusesAMessageBeforeTheProof() {
		byte[] forged = EmbeddedPeer.frame(EmbeddedPeer.cancel(1));
		byte[] greeting = EmbeddedPeer.frame(EmbeddedPeer.hello("forged"));
		this.server.receive(ByteBufUtil.getBytes(Unpooled.wrappedBuffer(forged, greeting, forged)));
		assertThat(this.server.refused()).isEqualTo(LinkClosure.UNEXPECTED_FRAME);
		assertThat(this.server.counters.refused(LinkClosure.UNEXPECTED_FRAME)).isEqualTo(1);
		assertThat(this.server.link()).isNull();
		assertThat(this.server.listener.received).isEmpty();
	}

	// The right client proof follows a frame that ended the connection, in one packet.
	// What ended stays ended: no link may open on a connection that is being closed.
	@Test
	void staysEndedWhenARightProofFollows() {
		this.client.receive(this.server.written());
		byte[] proof = this.client.written();
		byte[] garbage = EmbeddedPeer.frame(new byte[] { 1 });
		this.server.receive(ByteBufUtil
			.getBytes(Unpooled.wrappedBuffer(garbage, proof, EmbeddedPeer.frame(EmbeddedPeer.hello("CLIENT")))));
		assertThat(this.server.refused()).isEqualTo(LinkClosure.MALFORMED_FRAME);
		assertThat(this.server.link()).isNull();
	}

	@Test
	void refusesAMessageInPlaceOfTheGreeting() {
		this.client.receive(this.server.written());
		this.server.receive(this.client.written());
		this.server.receive(EmbeddedPeer.frame(EmbeddedPeer.cancel(1)));
		assertThat(this.server.refused()).isEqualTo(LinkClosure.UNEXPECTED_FRAME);
	}

	@Test
	void refusesAnotherProtocol() {
		this.server.receive("GET /metrics HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		assertThat(this.server.refused()).isEqualTo(LinkClosure.OVERSIZED_FRAME);
	}

	// Somebody without the secret announces a frame of the size that an open link allows.
	// It is refused by its length alone, so that strangers cannot fill the memory.
	@Test
	void refusesALargeFrameBeforeTheProof() {
		this.server.receive(ByteBufUtil.getBytes(Unpooled.copyInt(HandshakeHandler.MAXIMUM_FRAME_BYTES + 1)));
		assertThat(this.server.refused()).isEqualTo(LinkClosure.OVERSIZED_FRAME);
	}

	// Somebody connects and says nothing, or stops half-way. The connection does not
	// stay.
	@Test
	void endsAHandshakeThatTakesTooLong() {
		this.client.receive(this.server.written());
		this.server.receive(this.client.written());
		this.server.advance(EmbeddedPeer.SETTINGS.handshakeTimeout());
		assertThat(this.server.refused()).isEqualTo(LinkClosure.HANDSHAKE_TIMEOUT);
	}

	@Property(seed = "20260714")
	void neverOpensForArbitraryBytes(@ForAll byte[] bytes) {
		try (EmbeddedPeer peer = new EmbeddedPeer(LinkSide.SERVER)) {
			peer.receive(EmbeddedPeer.frame(bytes));
			assertThat(peer.link()).isNull();
			assertThat(peer.refused()).isNotNull();
		}
	}

	private static LinkProtocol.HandshakeFrame handshakeFrame(byte[] bytes) throws InvalidProtocolBufferException {
		ByteString frame = ByteString.copyFrom(Arrays.copyOfRange(bytes, LENGTH_BYTES, bytes.length));
		return LinkProtocol.HandshakeFrame.parseFrom(frame);
	}

}
