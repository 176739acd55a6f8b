package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Store and timers controlled by the test: the test completes calls and advances the
 * clock. Used by one thread.
 */
final class FakeStore implements Store, Timers {

	private static final long INITIAL_WALL_CLOCK_MILLIS = 1_790_000_000_000L;

	final List<List<byte[]>> appends = new ArrayList<>();

	final Deque<Consumer<AppendResult>> appendCallbacks = new ArrayDeque<>();

	final List<Long> readOffsets = new ArrayList<>();

	final List<Integer> textReadBytes = new ArrayList<>();

	final Deque<Consumer<ReadResult>> readCallbacks = new ArrayDeque<>();

	final Deque<Consumer<LatestResult>> latestCallbacks = new ArrayDeque<>();

	private final List<Task> tasks = new ArrayList<>();

	private long now;

	@Override
	public void append(Topic topic, List<byte[]> records, Consumer<AppendResult> callback) {
		this.appends.add(records);
		this.appendCallbacks.add(callback);
	}

	@Override
	public void appendTexts(int partition, List<byte[]> records, Consumer<AppendResult> callback) {
		append(Topic.TEXTS, records, callback);
	}

	@Override
	public void readTexts(int partition, long from, int maxBytes, Consumer<ReadResult> callback) {
		this.textReadBytes.add(maxBytes);
		read(Topic.TEXTS, from, Duration.ZERO, callback);
	}

	@Override
	public void put(Topic topic, String key, Optional<byte[]> value, Consumer<AppendResult> callback) {
		this.appendCallbacks.add(callback);
	}

	@Override
	public void read(Topic topic, long from, Duration maxWait, Consumer<ReadResult> callback) {
		this.readOffsets.add(from);
		this.readCallbacks.add(callback);
	}

	@Override
	public void readLatest(Topic topic, Consumer<LatestResult> callback) {
		this.latestCallbacks.add(callback);
	}

	@Override
	public void schedule(Duration delay, Runnable task) {
		this.tasks.add(new Task(this.now + delay.toMillis(), task));
	}

	@Override
	public long wallClockMillis() {
		return INITIAL_WALL_CLOCK_MILLIS + now();
	}

	@Override
	public long now() {
		return this.now;
	}

	void advance(long milliseconds) {
		this.now += milliseconds;
		List<Task> due = this.tasks.stream().filter((task) -> task.at() <= this.now).toList();
		this.tasks.removeAll(due);
		due.forEach((task) -> task.run().run());
	}

	/**
	 * A scheduled task. Immutable.
	 *
	 * @param at when to run it
	 * @param run the task
	 */
	private record Task(long at, Runnable run) {

	}

}
