package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A store whose answers the test gives, and a clock that the test moves. Used by one
 * thread.
 */
final class FakeStore implements Store, Timers {

	private static final long FIRST_TIME_OF_DAY = 1_790_000_000_000L;

	final List<List<byte[]>> appends = new ArrayList<>();

	final Deque<Consumer<AppendResult>> appendAnswers = new ArrayDeque<>();

	final List<Long> reads = new ArrayList<>();

	final List<Integer> textBytes = new ArrayList<>();

	final Deque<Consumer<ReadResult>> readAnswers = new ArrayDeque<>();

	final Deque<Consumer<LatestResult>> newestAnswers = new ArrayDeque<>();

	private final List<Step> steps = new ArrayList<>();

	private long now;

	@Override
	public void append(Topic topic, List<byte[]> records, Consumer<AppendResult> callback) {
		this.appends.add(records);
		this.appendAnswers.add(callback);
	}

	@Override
	public void appendTexts(int partition, List<byte[]> records, Consumer<AppendResult> callback) {
		append(Topic.TEXTS, records, callback);
	}

	@Override
	public void readTexts(int partition, long from, int maxBytes, Consumer<ReadResult> callback) {
		this.textBytes.add(maxBytes);
		read(Topic.TEXTS, from, Duration.ZERO, callback);
	}

	@Override
	public void put(Topic topic, String key, Optional<byte[]> value, Consumer<AppendResult> callback) {
		this.appendAnswers.add(callback);
	}

	@Override
	public void read(Topic topic, long from, Duration maxWait, Consumer<ReadResult> callback) {
		this.reads.add(from);
		this.readAnswers.add(callback);
	}

	@Override
	public void readLatest(Topic topic, Consumer<LatestResult> callback) {
		this.newestAnswers.add(callback);
	}

	@Override
	public void schedule(Duration delay, Runnable step) {
		this.steps.add(new Step(this.now + delay.toMillis(), step));
	}

	@Override
	public long wallClockMillis() {
		return FIRST_TIME_OF_DAY + now();
	}

	@Override
	public long now() {
		return this.now;
	}

	void pass(long milliseconds) {
		this.now += milliseconds;
		List<Step> due = this.steps.stream().filter((step) -> step.at() <= this.now).toList();
		this.steps.removeAll(due);
		due.forEach((step) -> step.run().run());
	}

	/**
	 * A step that waits for its time. Immutable.
	 *
	 * @param at when
	 * @param run the step
	 */
	private record Step(long at, Runnable run) {

	}

}
