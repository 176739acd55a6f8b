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
 * How the texts of turns are kept and found. A text is written to the log once, by the
 * relay that ran the turn, and read by a relay that has to continue from it: from the
 * memory of the one that ran it, or else from the log. All relays know of all turns where
 * their texts are, which is some hundred bytes each. Used by one thread.
 */
final class TextRules {

	/**
	 * How many times the time alone passes before help is asked for again, of others.
	 */
	private static final int HELP_PAUSES = 4;

	/**
	 * How long a relay that ran a turn may take to send its texts before they are read
	 * from the log: several times what a message there and back takes, less than a turn
	 * can wait.
	 */
	private static final Duration HOLDER_WAIT = Duration.ofMillis(30);

	/**
	 * The bytes of texts that a link carries in a millisecond, of those that a site's
	 * smallest machines have: what it takes beyond that is waited for as well.
	 */
	private static final int LINK_BYTES_PER_MS = 1024;

	/**
	 * For how long it counts that the log was slow here: some turns are kept in that time
	 * wherever callers keep any.
	 */
	private static final long SLOW_MS = 2000;

	/**
	 * About how many bytes of texts go out in one message, a small part of what may wait
	 * on a link.
	 */
	private static final int MESSAGE_BYTES = 1024 * 1024;

	/**
	 * After what time texts that could not be read from the log are tried for again.
	 */
	private static final Duration READ_WAIT = Duration.ofMillis(250);

	/**
	 * The most turns of a chain that another relay is told of at once. Older ones were in
	 * the log long before.
	 */
	private static final int LONGEST_CHAIN = 64;

	/**
	 * The part of its time that a turn waits at most for texts that are known to exist.
	 */
	private static final int TEXTS_WAIT_PART = 3;

	private final RelayState state;

	private final ExchangeCompletion ends;

	TextRules(RelayState state, ExchangeCompletion ends) {
		this.state = state;
		this.ends = ends;
	}

	/**
	 * Takes that an upstream ended a kept turn. Its end is passed on when the log has its
	 * text and where that is: a turn counts once its caller has seen the end, and must
	 * then be found after the loss of all relays at once.
	 * @param exchange the exchange
	 */
	void streamEnded(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		StoredTurn text = new StoredTurn(turn.previous(), exchange.request().body(), exchange.output());
		TextLocation place = place(text, this.state.name);
		exchange.transitionTo(Phase.STORING);
		this.state.turnCache.add(exchange.id(), text);
		this.state.turnCache.recordLocation(exchange.id(), place, Optional.empty());
		this.state.pendingTurns.put(exchange.id(), new PendingTurn(exchange.number(), text));
		this.state.emit(new RelayEffect.StoreText(exchange.id(), text));
		this.ends.settle(exchange, Optional.of(place));
		Duration pause = (this.state.connectivity == Connectivity.LOG) ? RelaySettings.TURN_WRITE_TIMEOUT
				: RelaySettings.REPLICATION_DELAY;
		this.state.startTimer(exchange, pause, TimerKind.LOG_WRITE);
	}

	private TextLocation place(StoredTurn text, String holder) {
		return new TextLocation(text.previous(), text.size(), this.state.textPartition, this.state.textEndOffset,
				Optional.of(holder).filter((name) -> !name.isEmpty()));
	}

	/**
	 * Takes that the log has texts that this relay wrote.
	 * @param stored which
	 */
	void textsStored(RelayEvent.TextsStored stored) {
		this.state.textEndOffset = Math.max(this.state.textEndOffset, stored.endOffset());
		boolean slow = stored.latency().compareTo(RelaySettings.TURN_WRITE_TIMEOUT) > 0;
		this.state.logSlowAt = slow ? stored.now() : RelayState.NEVER;
		for (String request : stored.requests()) {
			pendingStores(request).forEach((turn) -> turn.textStored = true);
			finishIfStored(request);
		}
	}

	/**
	 * Takes that the log has the end of a turn that this relay wrote.
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
		PeerTurn helping = this.state.peerTurns.get(request);
		if (helping != null && helping.complete()) {
			this.state.peerTurns.remove(request);
			this.state.emit(new RelayEffect.AcknowledgeTurnWrite(helping.peer, request));
		}
		PendingTurn ending = this.state.pendingTurns.get(request);
		if (ending != null && ending.complete()) {
			endStream(request);
		}
	}

	/**
	 * Passes on the end of a turn of this relay, which the log has now, whoever wrote it.
	 * @param request the turn
	 */
	void endStream(String request) {
		PendingTurn ending = this.state.pendingTurns.get(request);
		if (ending != null) {
			this.ends.endStream(this.state.exchanges.get(ending.exchange));
		}
	}

	/**
	 * Asks others to write a turn that this relay can't write itself: the store may turn
	 * away some relays and serve others. The end of the turn still waits for the log, for
	 * the loss of all relays at once must not lose a turn that its caller saw whole.
	 * @param exchange the exchange
	 */
	void storeTimedOut(Exchange exchange) {
		PendingTurn ending = this.state.pendingTurns.get(exchange.id());
		if (exchange.phase() != Phase.STORING || ending == null) {
			return;
		}
		this.state
			.emit(new RelayEffect.RequestTurnWrite(this.ends.settlement(exchange, Optional.empty()), ending.turn));
		this.state.startTimer(exchange, RelaySettings.TURN_WRITE_TIMEOUT.multipliedBy(HELP_PAUSES),
				TimerKind.LOG_WRITE);
	}

	/**
	 * Writes a turn for another relay, unless the log is as slow here as it may be there:
	 * a second and third copy of each turn would make it slower for all.
	 * @param textsRequested what is asked for
	 */
	void storeForPeer(RelayEvent.TurnWriteRequested asked) {
		String request = asked.settlement().request();
		boolean slow = this.state.now - this.state.logSlowAt < SLOW_MS;
		boolean able = this.state.connectivity == Connectivity.LOG && this.state.textEndOffset >= 0 && !slow;
		if (!able || this.state.peerTurns.containsKey(request)) {
			return;
		}
		TextLocation place = place(asked.text(), asked.peer());
		this.state.turnCache.recordLocation(request, place, Optional.of(asked.peer()));
		this.state.peerTurns.put(request, new PeerTurn(asked.peer()));
		this.state.emit(new RelayEffect.StoreText(request, asked.text()));
		this.state.writeAndReplicate(new LedgerEntry.Settled(request, asked.settlement().program(),
				asked.settlement().tokens(), Optional.of(place)), asked.settlement().program());
	}

	/**
	 * Looks for the texts of the turns before a turn, and has them brought if they are
	 * elsewhere.
	 * @param exchange the exchange of the turn
	 * @return whether they are at hand
	 */
	boolean resolveChain(Exchange exchange) {
		Optional<String> previous = exchange.head().turn().flatMap(Turn::previous);
		if (!exchange.route().storesTurns() || previous.isEmpty()) {
			return true;
		}
		return switch (this.state.turnCache.chain(previous.get())) {
			case Chain.Complete whole -> {
				exchange.setPrefix(whole.text());
				yield true;
			}
			case Chain.Incomplete elsewhere -> {
				fetchTexts(exchange, elsewhere);
				yield false;
			}
			case Chain.Unknown ignored -> false;
		};
	}

	/**
	 * Has it looked where the texts of a chain are that is not known here: the log has
	 * them, and the relays that keep the program have heard of them. The log alone may be
	 * out of reach, or slower than a turn can wait.
	 * @param exchange the exchange of the turn that continues the chain
	 */
	void requestLocations(Exchange exchange) {
		Turn turn = exchange.head().turn().orElseThrow();
		List<String> keepers = this.state.otherReplicas(turn.program());
		if (turn.previous().isPresent() && !keepers.isEmpty()) {
			this.state.emit(new RelayEffect.RequestTextLocations(keepers, turn.previous().get()));
		}
		if (this.state.connectivity == Connectivity.LOG || keepers.isEmpty()) {
			this.state.emit(new RelayEffect.ReadLog());
		}
	}

	void locationsRequested(RelayEvent.TextLocationsRequested asked) {
		List<TurnLocation> known = new ArrayList<>();
		Optional<String> next = Optional.of(asked.request());
		while (next.isPresent() && known.size() < LONGEST_CHAIN) {
			List<TextLocation> places = this.state.turnCache.locations(next.get());
			if (places.isEmpty()) {
				break;
			}
			known.add(new TurnLocation(next.get(), places.getFirst()));
			next = places.getFirst().previous();
		}
		if (!known.isEmpty()) {
			this.state.emit(new RelayEffect.SendTextLocations(asked.peer(), known));
		}
	}

	void locationsReceived(RelayEvent.TextLocationsReceived told) {
		told.turns()
			.forEach((turn) -> this.state.turnCache.recordLocation(turn.request(), turn.location(),
					Optional.of(told.peer())));
	}

	private void fetchTexts(Exchange exchange, Chain.Incomplete elsewhere) {
		if (exchange.fetchingTexts()) {
			return;
		}
		exchange.markFetchingTexts();
		Optional<String> holder = this.state.turnCache.origin(elsewhere.missing().getFirst())
			.filter((relay) -> this.state.linkedPeers.contains(relay) || this.state.replicas.contains(relay));
		if (holder.isEmpty()) {
			textRead(exchange, elsewhere);
			return;
		}
		this.state.emit(new RelayEffect.RequestTexts(holder.get(), elsewhere.missing()));
		this.state.startTimer(exchange, HOLDER_WAIT.plusMillis(bytes(elsewhere) / LINK_BYTES_PER_MS),
				TimerKind.TEXT_FETCH);
	}

	private long bytes(Chain.Incomplete elsewhere) {
		return elsewhere.missing()
			.stream()
			.mapToLong((turn) -> this.state.turnCache.locations(turn).getFirst().bytes())
			.sum();
	}

	private void textRead(Exchange exchange, Chain.Incomplete elsewhere) {
		for (String request : elsewhere.missing()) {
			if (this.state.pendingReads.add(request)) {
				this.state.emit(new RelayEffect.ReadText(request, this.state.turnCache.locations(request)));
			}
		}
		this.state.startTimer(exchange, READ_WAIT, TimerKind.TEXT_FETCH);
	}

	/**
	 * Reads from the log what the relay that ran a turn has not sent.
	 * @param exchange the exchange that waits
	 */
	void textsTimedOut(Exchange exchange) {
		if (exchange.phase() == Phase.WAITING_FOR_CHAIN && chain(exchange) instanceof Chain.Incomplete elsewhere) {
			textRead(exchange, elsewhere);
		}
	}

	/**
	 * Gives up a turn whose chain is not found. One whose texts are only elsewhere is
	 * waited for a while longer: refused, its caller would come for the same texts again.
	 * @param exchange the exchange that waits
	 */
	void chainTimedOut(Exchange exchange) {
		boolean exists = exchange.phase() == Phase.WAITING_FOR_CHAIN && !this.state.logStale
				&& chain(exchange) instanceof Chain.Incomplete;
		if (exists && exchange.extendWait()) {
			this.state.startTimer(exchange, exchange.remaining(this.state.now).dividedBy(TEXTS_WAIT_PART),
					TimerKind.CHAIN_LOOKUP);
			return;
		}
		this.ends.chainTimedOut(exchange);
	}

	private Chain chain(Exchange exchange) {
		return exchange.head()
			.turn()
			.flatMap(Turn::previous)
			.map(this.state.turnCache::chain)
			.orElseGet(() -> new Chain.Complete(new byte[0]));
	}

	void textsRequested(RelayEvent.TextsRequested asked) {
		List<TurnText> found = new ArrayList<>();
		int bytes = 0;
		for (String request : asked.requests()) {
			Optional<StoredTurn> text = this.state.turnCache.text(request);
			text.ifPresent((known) -> found.add(new TurnText(request, known)));
			bytes += text.map(StoredTurn::size).orElse(0);
			if (bytes > MESSAGE_BYTES) {
				this.state.emit(new RelayEffect.SendTexts(asked.peer(), found));
				found.clear();
				bytes = 0;
			}
		}
		if (!found.isEmpty()) {
			this.state.emit(new RelayEffect.SendTexts(asked.peer(), found));
		}
	}

	void textsReceived(RelayEvent.TextsReceived told) {
		told.texts().forEach((found) -> this.state.turnCache.add(found.request(), found.text()));
	}

	void textRead(RelayEvent.TextRead read) {
		this.state.pendingReads.remove(read.request());
		read.text().ifPresent((text) -> this.state.turnCache.add(read.request(), text));
	}

	/**
	 * What the log has of a turn. Used by one thread.
	 */
	private abstract static sealed class PendingStore {

		private boolean textStored;

		private boolean entryStored;

		boolean complete() {
			return this.textStored && this.entryStored;
		}

	}

	/**
	 * A turn that this relay ran. Used by one thread.
	 */
	static final class PendingTurn extends PendingStore {

		private final long exchange;

		private final StoredTurn turn;

		PendingTurn(long exchange, StoredTurn kept) {
			this.exchange = exchange;
			this.turn = kept;
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
