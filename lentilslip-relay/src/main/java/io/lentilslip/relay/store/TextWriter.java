package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;

import io.lentilslip.core.relay.TurnText;
import io.lentilslip.wire.relay.RelayCodec;

/**
 * Writes the texts of turns to this relay's partition of the store, in order and one call
 * at a time. An append whose outcome is not known is made again: a text may stand there
 * twice, and either copy will do. Texts that can't be written yet wait; the callers of
 * their turns wait for their ends, so that what waits is bounded by what callers wait
 * for, and beyond the bound the oldest wait no longer. Used by the event loop's thread.
 */
public final class TextWriter {

	/**
	 * The most bytes of one call, below the store's bound.
	 */
	private static final int CALL_BYTES = 1024 * 1024;

	/**
	 * The most bytes that wait: some times what a relay is given in the seconds that
	 * callers wait for an end.
	 */
	private static final long WAITING_BYTES = 16L * 1024 * 1024;

	private final Store store;

	private final Timers timers;

	private final int part;

	private final Listener listener;

	private final Consumer<Boolean> health;

	private final IntConsumer givenUp;

	private final Pauses pauses;

	private final Deque<Waiting> waiting = new ArrayDeque<>();

	private long bytes;

	private boolean calling;

	/**
	 * Creates a writer.
	 * @param store the store
	 * @param timers runs steps later
	 * @param random spreads out tries
	 * @param part the partition to which texts are written
	 * @param listener takes what the store has
	 * @param health takes whether the store answered a call as it should
	 * @param givenUp takes how many texts wait no longer, at each write that drops any
	 */
	public TextWriter(Store store, Timers timers, RandomGenerator random, int part, Listener listener,
			Consumer<Boolean> health, IntConsumer givenUp) {
		this.store = store;
		this.timers = timers;
		this.part = part;
		this.listener = listener;
		this.health = health;
		this.givenUp = givenUp;
		this.pauses = new Pauses(random);
	}

	/**
	 * Asks where the partition ends, before anything is written: whoever reads a text is
	 * told to look from there on.
	 */
	public void start() {
		this.store.readTexts(this.part, 0, 0, (outcome) -> {
			switch (outcome) {
				case Store.Read.Records records -> this.listener.stored(Set.of(), records.end(), Duration.ZERO);
				case Store.Read.Deleted deleted -> this.listener.stored(Set.of(), deleted.first(), Duration.ZERO);
				case Store.Read.Failed ignored -> this.timers.after(this.pauses.next(), this::start);
			}
		});
	}

	/**
	 * Takes a text.
	 * @param turn the turn
	 */
	public void write(TurnText turn) {
		byte[] encoded = RelayCodec.encode(turn);
		this.waiting.add(new Waiting(turn.request(), encoded));
		this.bytes += encoded.length;
		dropOldest();
		call();
	}

	private void dropOldest() {
		int dropped = 0;
		while (this.bytes > WAITING_BYTES) {
			this.bytes -= this.waiting.pollFirst().encoded().length;
			dropped++;
		}
		if (dropped > 0) {
			this.givenUp.accept(dropped);
		}
	}

	/**
	 * Returns how many texts wait.
	 * @return the number
	 */
	public int size() {
		return this.waiting.size();
	}

	private void call() {
		if (this.calling || this.waiting.isEmpty()) {
			return;
		}
		this.calling = true;
		List<Waiting> batch = new ArrayList<>();
		int size = 0;
		while (!this.waiting.isEmpty() && (batch.isEmpty() || size + next() <= CALL_BYTES)) {
			size += next();
			batch.add(this.waiting.pollFirst());
		}
		this.bytes -= size;
		append(batch);
	}

	private int next() {
		return this.waiting.peekFirst().encoded().length;
	}

	private void append(List<Waiting> batch) {
		long began = this.timers.now();
		this.store.appendTexts(this.part, batch.stream().map(Waiting::encoded).toList(), (outcome) -> {
			this.health.accept(outcome instanceof Store.Appended.Done);
			if (outcome instanceof Store.Appended.Done done) {
				done(batch, done.offset() + batch.size(), Duration.ofMillis(this.timers.now() - began));
				return;
			}
			this.timers.after(this.pauses.next(), () -> append(batch));
		});
	}

	private void done(List<Waiting> batch, long end, Duration took) {
		this.pauses.reset();
		this.calling = false;
		Set<String> requests = new HashSet<>();
		batch.forEach((written) -> requests.add(written.request()));
		this.listener.stored(requests, end, took);
		call();
	}

	/**
	 * Takes what the store has. Used by the event loop's thread.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Texts are in the store.
		 * @param requests the turns whose texts they are
		 * @param end where the partition ends now
		 * @param took how long the store took
		 */
		void stored(Set<String> requests, long end, Duration took);

	}

	/**
	 * A text that is not in the store yet. Immutable.
	 *
	 * @param request the turn
	 * @param encoded its bytes
	 */
	private record Waiting(String request, byte[] encoded) {

	}

}
