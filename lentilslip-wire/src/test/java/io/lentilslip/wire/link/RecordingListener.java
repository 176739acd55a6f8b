package io.lentilslip.wire.link;

import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.wire.codec.CodecProblem;

/**
 * A listener that records what it is told. Safe for use by several threads.
 */
class RecordingListener implements LinkListener {

	final CompletableFuture<Link> opened = new CompletableFuture<>();

	final CompletableFuture<LinkClosure> closed = new CompletableFuture<>();

	final CompletableFuture<LinkClosure> refused = new CompletableFuture<>();

	final List<LinkMessage> received = new CopyOnWriteArrayList<>();

	final List<CodecProblem> unread = new CopyOnWriteArrayList<>();

	@Override
	public void opened(Link link, LinkMessage.Hello peer) {
		this.opened.complete(link);
	}

	@Override
	public void received(Link link, LinkMessage message) {
		this.received.add(message);
	}

	@Override
	public void unread(Link link, CodecProblem.UnknownKind problem) {
		this.unread.add(problem);
	}

	@Override
	public void closed(Link link, LinkClosure reason) {
		this.closed.complete(reason);
	}

	@Override
	public void refused(SocketAddress address, LinkClosure reason) {
		this.refused.complete(reason);
	}

}
