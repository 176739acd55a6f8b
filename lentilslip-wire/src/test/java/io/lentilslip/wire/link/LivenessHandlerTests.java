package io.lentilslip.wire.link;

import io.lentilslip.core.link.LinkMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LivenessHandlerTests {

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

	// A VM vanishes without closing its connections, or its packets are lost on the way
	// here while ours arrive. Nothing but silence tells; the link ends, so that calls go
	// elsewhere.
	@Test
	void endsALinkThatIsSilent() {
		advanceIntervals(this.server, EmbeddedPeer.SETTINGS.silentIntervals());
		assertThat(this.server.closed()).isNull();
		advanceIntervals(this.server, 1);
		assertThat(this.server.closed()).isEqualTo(LinkClosure.SILENT);
	}

	@Test
	void keepsALinkWithHeartbeatsAlone() {
		for (int i = 0; i < 20; i++) {
			advanceIntervals(this.client, 1);
			advanceIntervals(this.server, 1);
			EmbeddedPeer.exchange(this.client, this.server);
		}
		assertThat(this.client.closed()).isNull();
		assertThat(this.server.closed()).isNull();
		assertThat(this.server.listener.received).isEmpty();
	}

	@Test
	void sendsAHeartbeatOnlyWhenNothingElseWasSent() {
		advanceIntervals(this.client, 1);
		this.client.written();
		this.client.link().send(EmbeddedPeer.cancel(1));
		assertThat(this.client.written()).isEqualTo(EmbeddedPeer.frame(EmbeddedPeer.cancel(1)));
		advanceIntervals(this.client, 1);
		assertThat(this.client.written()).isEmpty();
		advanceIntervals(this.client, 1);
		assertThat(this.client.written()).isEqualTo(EmbeddedPeer.frame(new LinkMessage.Heartbeat()));
	}

	// A long history crosses a slow way and takes longer than the silence allowed. Its
	// bytes arrive all the time, so the peer is alive although no frame is whole yet.
	@Test
	void takesPartsOfAFrameForSignsOfLife() {
		byte[] frame = EmbeddedPeer.frame(EmbeddedPeer.cancel(1));
		for (byte part : frame) {
			this.server.receive(new byte[] { part });
			advanceIntervals(this.server, EmbeddedPeer.SETTINGS.silentIntervals());
		}
		assertThat(this.server.closed()).isNull();
		assertThat(this.server.listener.received).containsExactly(EmbeddedPeer.cancel(1));
	}

	// This process is paused for a minute while its peers are well. When it goes on, time
	// has jumped, but what they sent meanwhile is still to be read: their links stay.
	@Test
	void keepsLinksAfterItWasPausedItself() {
		this.server.advance(EmbeddedPeer.INTERVAL.multipliedBy(120));
		assertThat(this.server.closed()).isNull();
		this.server.receive(EmbeddedPeer.frame(EmbeddedPeer.cancel(1)));
		assertThat(this.server.listener.received).containsExactly(EmbeddedPeer.cancel(1));
	}

	private static void advanceIntervals(EmbeddedPeer peer, int count) {
		for (int i = 0; i < count; i++) {
			peer.advance(EmbeddedPeer.INTERVAL);
		}
	}

}
