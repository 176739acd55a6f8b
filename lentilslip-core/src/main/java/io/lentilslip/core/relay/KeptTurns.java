package io.lentilslip.core.relay;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Optional;

import io.lentilslip.core.relay.LedgerEntry.KeptTurn;

/**
 * The text of turns that later turns may continue from. Bounded in bytes: the oldest
 * turns go first. A turn whose chain is not whole is treated as unknown, so no upstream
 * is given a shortened history. Used by one thread.
 */
final class KeptTurns {

	private final long bound;

	private final LinkedHashMap<String, KeptTurn> turns = new LinkedHashMap<>();

	private long bytes;

	KeptTurns(long bound) {
		this.bound = bound;
	}

	void add(String request, KeptTurn turn) {
		if (this.turns.putIfAbsent(request, turn) != null) {
			return;
		}
		this.bytes += turn.size();
		while (this.bytes > this.bound) {
			this.bytes -= this.turns.pollFirstEntry().getValue().size();
		}
	}

	/**
	 * Returns what an upstream is to read before the new input of a turn.
	 * @param previous the turn that is continued from
	 * @return inputs and outputs of the whole chain, or empty if a part is unknown
	 */
	Optional<byte[]> chain(String previous) {
		Deque<KeptTurn> chain = new ArrayDeque<>();
		Optional<String> next = Optional.of(previous);
		while (next.isPresent()) {
			KeptTurn turn = this.turns.get(next.get());
			if (turn == null) {
				return Optional.empty();
			}
			chain.addFirst(turn);
			next = turn.previous();
		}
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		for (KeptTurn turn : chain) {
			text.writeBytes(turn.input());
			text.writeBytes(turn.output());
		}
		return Optional.of(text.toByteArray());
	}

	int size() {
		return this.turns.size();
	}

	long bytes() {
		return this.bytes;
	}

}
