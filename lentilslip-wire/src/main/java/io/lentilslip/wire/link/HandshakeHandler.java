package io.lentilslip.wire.link;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.wire.codec.CodecProblem;
import io.lentilslip.wire.codec.LinkCodec;
import io.lentilslip.wire.generated.LinkProtocol;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.vavr.control.Either;

/**
 * A handler that lets a connection become a link once both sides have proved that they
 * know the shared secret.
 * <p>
 * The port of a process can be reached by whoever is on the network. A forged message
 * there could start a call or end a program; so nothing is read as a message before the
 * proof, frames are small until then, and each step accepts one kind of frame alone. The
 * server sends its nonce; the client answers with its own and its proof; the server
 * answers with its proof; each then greets. Confined to the event loop of its channel.
 */
final class HandshakeHandler extends SimpleChannelInboundHandler<ByteBuf> {

	/**
	 * The most bytes of a frame before the link is open.
	 */
	static final int MAXIMUM_FRAME_BYTES = 1_024;

	private static final int VERSION = 1;

	private final Connection connection;

	private State state = new AwaitingChallenge();

	private Future<?> timeout;

	/**
	 * Creates a handler for one connection.
	 * @param connection what the handlers share
	 */
	HandshakeHandler(Connection connection) {
		this.connection = connection;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		long nanos = this.connection.settings().handshakeTimeout().toNanos();
		this.timeout = context.executor()
			.schedule(() -> end(context, LinkClosure.HANDSHAKE_TIMEOUT), nanos, TimeUnit.NANOSECONDS);
		if (this.connection.side() == LinkSide.SERVER) {
			challenge(context);
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
		if (this.connection.isEnding()) {
			return;
		}
		byte[] bytes = ByteBufUtil.getBytes(frame);
		if (this.state instanceof AwaitingGreeting) {
			greeted(context, LinkCodec.decode(bytes));
			return;
		}
		try {
			received(context, LinkProtocol.HandshakeFrame.parseFrom(bytes));
		}
		catch (InvalidProtocolBufferException ex) {
			end(context, LinkClosure.MALFORMED_FRAME);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		cancelTimeout();
		this.connection.refused(context.channel().remoteAddress());
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event == LinkPipeline.CloseRequest.INSTANCE) {
			end(context, LinkClosure.CLOSED_HERE);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.connection.end(context.channel(), cause);
	}

	private void received(ChannelHandlerContext context, LinkProtocol.HandshakeFrame frame) {
		switch (this.state) {
			case AwaitingChallenge() when frame.hasChallenge() -> answer(context, frame.getChallenge());
			case AwaitingClientProof(byte[] serverNonce) when frame.hasClientProof() ->
				checkClient(context, serverNonce, frame.getClientProof());
			case AwaitingServerProof(byte[] serverNonce, byte[] clientNonce) when frame.hasServerProof() ->
				checkServer(context, serverNonce, clientNonce, frame.getServerProof());
			default -> end(context, LinkClosure.UNEXPECTED_FRAME);
		}
	}

	private void challenge(ChannelHandlerContext context) {
		byte[] serverNonce = LinkSecret.nonce();
		this.state = new AwaitingClientProof(serverNonce);
		LinkProtocol.Challenge challenge = LinkProtocol.Challenge.newBuilder()
			.setNonce(ByteString.copyFrom(serverNonce))
			.build();
		write(context, frame().setChallenge(challenge));
	}

	private void answer(ChannelHandlerContext context, LinkProtocol.Challenge challenge) {
		byte[] serverNonce = challenge.getNonce().toByteArray();
		byte[] clientNonce = LinkSecret.nonce();
		this.state = new AwaitingServerProof(serverNonce, clientNonce);
		LinkProtocol.ClientProof proof = LinkProtocol.ClientProof.newBuilder()
			.setNonce(ByteString.copyFrom(clientNonce))
			.setProof(proof(LinkSide.CLIENT, serverNonce, clientNonce))
			.build();
		write(context, frame().setClientProof(proof));
	}

	private void checkClient(ChannelHandlerContext context, byte[] serverNonce, LinkProtocol.ClientProof proof) {
		byte[] clientNonce = proof.getNonce().toByteArray();
		if (!accepts(proof.getProof(), LinkSide.CLIENT, serverNonce, clientNonce)) {
			end(context, LinkClosure.WRONG_PROOF);
			return;
		}
		LinkProtocol.ServerProof answer = LinkProtocol.ServerProof.newBuilder()
			.setProof(proof(LinkSide.SERVER, serverNonce, clientNonce))
			.build();
		write(context, frame().setServerProof(answer));
		greet(context);
	}

	private void checkServer(ChannelHandlerContext context, byte[] serverNonce, byte[] clientNonce,
			LinkProtocol.ServerProof proof) {
		if (!accepts(proof.getProof(), LinkSide.SERVER, serverNonce, clientNonce)) {
			end(context, LinkClosure.WRONG_PROOF);
			return;
		}
		greet(context);
	}

	private void greet(ChannelHandlerContext context) {
		this.state = new AwaitingGreeting();
		write(context, LinkCodec.encode(this.connection.greeting()));
	}

	private void greeted(ChannelHandlerContext context, Either<CodecProblem, LinkMessage> message) {
		if (message.isLeft()) {
			end(context, LinkClosure.MALFORMED_FRAME);
			return;
		}
		if (!(message.get() instanceof LinkMessage.Hello peer)) {
			end(context, LinkClosure.UNEXPECTED_FRAME);
			return;
		}
		cancelTimeout();
		ChannelLink link = new ChannelLink(context.channel(), this.connection, peer);
		LinkPipeline.open(context.channel(), this.connection, link);
	}

	// A connection that is closed while it is set up ends without having been active.
	private void cancelTimeout() {
		if (this.timeout != null) {
			this.timeout.cancel(false);
		}
	}

	private ByteString proof(LinkSide side, byte[] serverNonce, byte[] clientNonce) {
		return ByteString.copyFrom(this.connection.settings().secret().proof(side, serverNonce, clientNonce));
	}

	private boolean accepts(ByteString proof, LinkSide side, byte[] serverNonce, byte[] clientNonce) {
		return this.connection.settings().secret().accepts(proof.toByteArray(), side, serverNonce, clientNonce);
	}

	private void end(ChannelHandlerContext context, LinkClosure reason) {
		this.connection.end(context.channel(), reason);
	}

	private static LinkProtocol.HandshakeFrame.Builder frame() {
		return LinkProtocol.HandshakeFrame.newBuilder().setVersion(VERSION);
	}

	private static void write(ChannelHandlerContext context, LinkProtocol.HandshakeFrame.Builder frame) {
		write(context, frame.build().toByteArray());
	}

	private static void write(ChannelHandlerContext context, byte[] bytes) {
		context.writeAndFlush(Unpooled.wrappedBuffer(bytes));
	}

	/**
	 * What the handshake waits for. Implementations are confined to the event loop, since
	 * the arrays they hold could be changed.
	 */
	private sealed interface State {

	}

	/**
	 * The client waits for the server's nonce.
	 */
	private record AwaitingChallenge() implements State {

	}

	/**
	 * The server waits for the client's nonce and proof.
	 *
	 * @param serverNonce the nonce that the server sent
	 */
	private record AwaitingClientProof(byte[] serverNonce) implements State {

	}

	/**
	 * The client waits for the server's proof.
	 *
	 * @param serverNonce the nonce that the server sent
	 * @param clientNonce the nonce that the client sent
	 */
	private record AwaitingServerProof(byte[] serverNonce, byte[] clientNonce) implements State {

	}

	/**
	 * Both sides have proved themselves, and the peer's greeting is to come.
	 */
	private record AwaitingGreeting() implements State {

	}

}
