package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import io.lentilslip.core.relay.Exchange.Phase;
import io.lentilslip.core.relay.RelayEvent.Connectivity;
import io.lentilslip.core.relay.RelayEvent.TimerKind;
import io.lentilslip.core.relay.RequestHead.Turn;
import io.lentilslip.core.relay.TurnCache.Chain;

/**
 * Stores and retrieves the texts of turns. The relay that ran a turn appends its text to
 * the log once. A relay that continues the turn fetches the text from the memory of that
 * relay, or else from the log. All relays know the locations of all texts. Used by one
 * thread.
 */
final class TextRules {

	/**
	 * The delay before other peers are asked to write a turn, as a multiple of the write
	 * timeout.
	 */
	private static final int TURN_WRITE_RETRY_FACTOR = 4;

	/**
	 * How long the relay that ran a turn may take to send texts before they are read from
	 * the log: several round trips, but less than a turn can wait.
	 */
	private static final Duration ORIGIN_TIMEOUT = Duration.ofMillis(30);

	/**
	 * The throughput of the slowest links in bytes per millisecond. The timeout is
	 * extended by the size of the texts divided by it.
	 */
	private static final int LINK_BYTES_PER_MS = 1024;

	/**
	 * How long after a slow append the log is considered slow. Some turns are stored in
	 * this time wherever callers have turns stored.
	 */
	private static final long SLOW_LOG_WINDOW_MS = 2000;

	/**
	 * The size of texts in bytes after which a message is sent. Far below the limit of
	 * bytes pending on a link.
	 */
	private static final int TARGET_MESSAGE_BYTES = 1024 * 1024;

	/**
	 * The delay before texts that were not found in the log are read again.
	 */
	private static final Duration READ_RETRY_DELAY = Duration.ofMillis(250);

	/**
	 * The maximum number of locations of a chain that are sent to another relay. It can
	 * read the locations of older turns from the log.
	 */
	private static final int MAX_CHAIN_LOCATIONS = 64;

	/**
	 * The remaining time of a turn is divided by this for the wait for texts that are
	 * known to exist.
	 */
	private static final int EXTENDED_WAIT_DIVISOR = 3;

	/**
	 * The maximum number of records between the published location of a text and the
	 * text. Other relays append to the same partition. A search finds the text behind as
	 * many records of the largest size.
	 */
	private static final int MAX_LOCATION_GAP = 16;

	private final RelayState state;

	private final ExchangeCompletion completion;

	TextRules(RelayState state, ExchangeCompletion completion) {
		this.state = state;
		this.completion = completion;
	}

	/**
	 * Stores a turn whose stream has ended. The end of the stream is forwarded only when
	 * the log has the text and the entry with its location: a turn that its caller saw
	 * complete must survive the loss of all relays.
	 * @param exchange the exchange
	 */
	void streamEnded(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		StoredTurn text = new StoredTurn(turn.previous(), exchange.request().body(), exchange.output());
		TextLocation location = newLocation(text, this.state.name, exchange.route().retention());
		exchange.transitionTo(Phase.STORING);
		this.state.turnCache.add(exchange.id(), text);
		this.state.turnCache.recordLocation(exchange.id(), location, Optional.empty());
		PendingTurn pendingTurn = new PendingTurn(exchange.number(), text);
		this.state.pendingTurns.put(exchange.id(), pendingTurn);
		this.state.emit(new RelayEffect.StoreText(exchange.id(), text));
		pendingTurn.publish(this.completion.settlement(exchange, Optional.of(location)));
		this.completion.settle(exchange, Optional.of(location));
		Duration timeout = (this.state.connectivity == Connectivity.LOG) ? RelaySettings.TURN_WRITE_TIMEOUT
				: RelaySettings.REPLICATION_DELAY;
		this.state.startTimer(exchange, timeout, TimerKind.LOG_WRITE);
	}

	private TextLocation newLocation(StoredTurn text, String origin, Duration retention) {
		return new TextLocation(text.previous(), text.size(), this.state.textPartition, this.state.textEndOffset,
				Optional.of(origin).filter((name) -> !name.isEmpty()), retention, false);
	}

	/**
	 * Records that the log has texts that this relay appended.
	 * @param stored the stored texts
	 */
	void textsStored(RelayEvent.TextsStored stored) {
		this.state.textEndOffset = Math.max(this.state.textEndOffset, stored.endOffset());
		boolean slow = stored.latency().compareTo(RelaySettings.TURN_WRITE_TIMEOUT) > 0;
		this.state.logSlowAt = slow ? stored.now() : RelayState.NEVER;
		for (String request : stored.requests()) {
			pendingStores(request).forEach((turn) -> {
				turn.textStored = true;
				correctLocation(turn, stored.firstOffset());
			});
			finishIfStored(request);
		}
	}

	// The published location is the end of the partition after this relay's last append.
	// If
	// others have appended much since then, a search from it would end before the text.
	private void correctLocation(PendingStore turn, long firstOffset) {
		Optional<TextLocation> published = turn.settlement.flatMap(LedgerEntry.Settled::textLocation);
		if (published.isEmpty() || firstOffset - published.get().minOffset() <= MAX_LOCATION_GAP) {
			return;
		}
		LedgerEntry.Settled settled = turn.settlement.get();
		TextLocation location = published.get()
			.renewedAt(this.state.textPartition, firstOffset, published.get().retention());
		turn.awaitsCorrection = true;
		this.state.emit(new RelayEffect.AppendEntry(
				new LedgerEntry.Settled(settled.run(), settled.program(), settled.tokens(), Optional.of(location)),
				List.of()));
		this.state.emit(new RelayEffect.FlushEntries());
	}

	/**
	 * Records that the log has the corrected location of a turn's text.
	 * @param request the turn
	 */
	void correctionStored(String request) {
		pendingStores(request).forEach((turn) -> turn.awaitsCorrection = false);
		finishIfStored(request);
	}

	/**
	 * Records that the log has the settlement of a turn that this relay appended.
	 * @param request the turn
	 */
	void entryStored(String request) {
		pendingStores(request).forEach((turn) -> turn.entryStored = true);
		finishIfStored(request);
	}

	private Stream<PendingStore> pendingStores(String request) {
		return Stream
			.of(Optional.ofNullable(this.state.pendingTurns.get(request)),
					Optional.ofNullable(this.state.peerTurns.get(request)))
			.flatMap(Optional::stream);
	}

	private void finishIfStored(String request) {
		PeerTurn peerTurn = this.state.peerTurns.get(request);
		if (peerTurn != null && peerTurn.complete()) {
			this.state.peerTurns.remove(request);
			this.state.emit(new RelayEffect.AcknowledgeTurnWrite(peerTurn.peer, request));
		}
		PendingTurn pendingTurn = this.state.pendingTurns.get(request);
		if (pendingTurn != null && pendingTurn.complete()) {
			endStream(request);
		}
	}

	/**
	 * Forwards the end of a stream whose turn the log has, whichever relay wrote it.
	 * @param request the turn
	 */
	void endStream(String request) {
		PendingTurn pendingTurn = this.state.pendingTurns.get(request);
		if (pendingTurn != null) {
			this.completion.endStream(this.state.exchanges.get(pendingTurn.exchange));
		}
	}

	/**
	 * Asks peers to write a turn that this relay could not write in time, since the store
	 * may be reachable from other relays. The end of the stream still waits for the log.
	 * @param exchange the exchange
	 */
	void storeTimedOut(Exchange exchange) {
		PendingTurn pendingTurn = this.state.pendingTurns.get(exchange.id());
		if (exchange.phase() != Phase.STORING || pendingTurn == null) {
			return;
		}
		this.state.emit(new RelayEffect.RequestTurnWrite(this.completion.settlement(exchange, Optional.empty()),
				pendingTurn.turn));
		this.state.startTimer(exchange, RelaySettings.TURN_WRITE_TIMEOUT.multipliedBy(TURN_WRITE_RETRY_FACTOR),
				TimerKind.LOG_WRITE);
	}

	/**
	 * Writes a turn for another relay, unless the log is slow here as well: additional
	 * copies of each turn would slow it down further.
	 * @param received the request of the other relay
	 */
	void storeForPeer(RelayEvent.TurnWriteRequested received) {
		String request = received.settlement().request();
		boolean slow = this.state.now - this.state.logSlowAt < SLOW_LOG_WINDOW_MS;
		boolean able = this.state.connectivity == Connectivity.LOG && this.state.textEndOffset >= 0 && !slow;
		if (!able || this.state.peerTurns.containsKey(request)) {
			return;
		}
		TextLocation location = newLocation(received.text(), received.peer(),
				this.state.routeTable.map(RouteTable::longestRetention).orElse(Duration.ZERO));
		this.state.turnCache.recordLocation(request, location, Optional.of(received.peer()));
		PeerTurn peerTurn = new PeerTurn(received.peer());
		this.state.peerTurns.put(request, peerTurn);
		this.state.emit(new RelayEffect.StoreText(request, received.text()));
		LedgerEntry.Settled settled = new LedgerEntry.Settled(received.settlement().run(),
				received.settlement().program(), received.settlement().tokens(), Optional.of(location));
		peerTurn.publish(settled);
		this.state.writeAndReplicate(settled, settled.program());
	}

	/**
	 * Looks up the texts of the previous turns, and fetches those that are not in memory.
	 * @param exchange the exchange of the turn
	 * @return whether all texts are in memory
	 */
	boolean resolveChain(Exchange exchange) {
		Optional<String> previous = exchange.head().turn().flatMap(Turn::previous);
		if (!exchange.route().storesTurns() || previous.isEmpty()) {
			return true;
		}
		return switch (this.state.turnCache.chain(previous.get())) {
			case Chain.Complete complete -> {
				exchange.setPrefix(complete.text());
				yield true;
			}
			case Chain.Incomplete incomplete -> {
				fetchTexts(exchange, incomplete);
				yield false;
			}
			case Chain.Unknown ignored -> false;
		};
	}

	/**
	 * Requests the locations of an unknown chain from the log and from the replicas of
	 * the program. The log alone may be unreachable, or slower than a turn can wait.
	 * @param exchange the exchange of the turn that continues the chain
	 */
	void requestLocations(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		List<String> replicas = this.state.otherReplicas(turn.program());
		if (turn.previous().isPresent() && !replicas.isEmpty()) {
			this.state.emit(new RelayEffect.RequestTextLocations(replicas, turn.previous().get()));
		}
		if (this.state.connectivity == Connectivity.LOG || replicas.isEmpty()) {
			this.state.emit(new RelayEffect.ReadLog());
		}
	}

	void locationsRequested(RelayEvent.TextLocationsRequested received) {
		List<TurnLocation> known = new ArrayList<>();
		Optional<String> next = Optional.of(received.request());
		while (next.isPresent() && known.size() < MAX_CHAIN_LOCATIONS) {
			List<TextLocation> locations = this.state.turnCache.locations(next.get());
			if (locations.isEmpty()) {
				break;
			}
			known.add(new TurnLocation(next.get(), locations.getFirst()));
			next = locations.getFirst().previous();
		}
		if (!known.isEmpty()) {
			this.state.emit(new RelayEffect.SendTextLocations(received.peer(), known));
		}
	}

	void locationsReceived(RelayEvent.TextLocationsReceived received) {
		received.turns()
			.forEach((turn) -> this.state.turnCache.recordLocation(turn.request(), turn.location(),
					Optional.of(received.peer())));
	}

	private void fetchTexts(Exchange exchange, Chain.Incomplete incomplete) {
		if (exchange.fetchingTexts()) {
			return;
		}
		exchange.markFetchingTexts();
		Optional<String> origin = this.state.turnCache.origin(incomplete.missing().getFirst())
			.filter((relay) -> this.state.linkedPeers.contains(relay) || this.state.replicas.contains(relay));
		if (origin.isEmpty()) {
			readFromLog(exchange, incomplete);
			return;
		}
		this.state.emit(new RelayEffect.RequestTexts(origin.get(), incomplete.missing()));
		this.state.startTimer(exchange, ORIGIN_TIMEOUT.plusMillis(missingBytes(incomplete) / LINK_BYTES_PER_MS),
				TimerKind.TEXT_FETCH);
	}

	private long missingBytes(Chain.Incomplete incomplete) {
		return incomplete.missing()
			.stream()
			.mapToLong((turn) -> this.state.turnCache.locations(turn).getFirst().bytes())
			.sum();
	}

	private void readFromLog(Exchange exchange, Chain.Incomplete incomplete) {
		for (String request : incomplete.missing()) {
			if (this.state.pendingReads.add(request)) {
				this.state.emit(new RelayEffect.ReadText(request, this.state.turnCache.locations(request)));
			}
		}
		this.state.startTimer(exchange, READ_RETRY_DELAY, TimerKind.TEXT_FETCH);
	}

	/**
	 * Reads from the log the texts that the relay that ran the turn has not sent.
	 * @param exchange the waiting exchange
	 */
	void textsTimedOut(Exchange exchange) {
		if (exchange.phase() == Phase.WAITING_FOR_CHAIN && chain(exchange) instanceof Chain.Incomplete incomplete) {
			readFromLog(exchange, incomplete);
		}
	}

	/**
	 * Refuses a turn whose chain was not found. If all turns of the chain are known and
	 * only texts are missing, the wait is extended once: a retry would need the same
	 * texts.
	 * @param exchange the waiting exchange
	 */
	void chainTimedOut(Exchange exchange) {
		boolean chainKnown = exchange.phase() == Phase.WAITING_FOR_CHAIN && !this.state.logStale
				&& chain(exchange) instanceof Chain.Incomplete;
		if (chainKnown && exchange.extendWait()) {
			this.state.startTimer(exchange, exchange.remaining(this.state.now).dividedBy(EXTENDED_WAIT_DIVISOR),
					TimerKind.CHAIN_LOOKUP);
			return;
		}
		this.completion.chainTimedOut(exchange);
	}

	private Chain chain(Exchange exchange) {
		return exchange.head()
			.turn()
			.flatMap(Turn::previous)
			.map(this.state.turnCache::chain)
			.orElseGet(() -> new Chain.Complete(new byte[0]));
	}

	void textsRequested(RelayEvent.TextsRequested received) {
		List<TurnText> found = new ArrayList<>();
		int bytes = 0;
		for (String request : received.requests()) {
			Optional<StoredTurn> text = this.state.turnCache.text(request);
			text.ifPresent((turn) -> found.add(new TurnText(request, turn)));
			bytes += text.map(StoredTurn::size).orElse(0);
			if (bytes > TARGET_MESSAGE_BYTES) {
				this.state.emit(new RelayEffect.SendTexts(received.peer(), found));
				found.clear();
				bytes = 0;
			}
		}
		if (!found.isEmpty()) {
			this.state.emit(new RelayEffect.SendTexts(received.peer(), found));
		}
	}

	void textsReceived(RelayEvent.TextsReceived received) {
		received.texts().forEach((found) -> this.state.turnCache.add(found.request(), found.text()));
	}

	void textRead(RelayEvent.TextRead read) {
		this.state.pendingReads.remove(read.request());
		read.text()
			.ifPresentOrElse((text) -> this.state.turnCache.add(read.request(), text),
					() -> this.state.report(RelayNotices.textNotFound(read.request(),
							this.state.turnCache.locations(read.request()).size(), recordAge(read.request()))));
	}

	private Duration recordAge(String request) {
		return this.state.retainedTurns.find(request)
			.map((turn) -> Duration.ofMillis(this.state.now - turn.writtenAt()))
			.orElse(Duration.ZERO);
	}

	/**
	 * The parts of a turn that the log has confirmed. Used by one thread.
	 */
	private abstract static sealed class PendingStore {

		private boolean textStored;

		private boolean entryStored;

		private boolean awaitsCorrection;

		private Optional<LedgerEntry.Settled> settlement = Optional.empty();

		void publish(LedgerEntry.Settled published) {
			this.settlement = Optional.of(published);
		}

		boolean complete() {
			return this.textStored && this.entryStored && !this.awaitsCorrection;
		}

	}

	/**
	 * A turn that this relay ran. Used by one thread.
	 */
	static final class PendingTurn extends PendingStore {

		private final long exchange;

		private final StoredTurn turn;

		PendingTurn(long exchange, StoredTurn turn) {
			this.exchange = exchange;
			this.turn = turn;
		}

	}

	/**
	 * A turn that this relay writes for another one. Used by one thread.
	 */
	static final class PeerTurn extends PendingStore {

		private final String peer;

		PeerTurn(String peer) {
			this.peer = peer;
		}

	}

}
