package io.lentilslip.runtime.loop;

import java.util.ArrayDeque;
import java.util.Objects;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import io.lentilslip.core.reducer.Reducer;
import io.lentilslip.core.reducer.Step;

/**
 * Gives events to a reducer, one after the other, on one thread of its own, and hands the
 * effects of each in their order to a runner before it takes the next.
 * <p>
 * The mailbox is one queue with a bound and three ways in. {@link #offer} refuses when
 * the bound is met: for work that comes from outside and can be turned away.
 * {@link #postWhenRoom} waits for room: for threads of ours that read a stream, which
 * slows its sender down. {@link #post} always admits: for what the reducer can't do
 * without, such as the end of a link or a run. Were one of these dropped, its call would
 * hang for ever. They stay bounded since each ends something that was admitted or started
 * before. Two queues with a priority were weighed and left: the end of a link would
 * overtake the messages that came before it.
 * <p>
 * Safe for use by several threads. An exception of the reducer or runner ends the loop: a
 * state that misses an event or an effect can't be trusted with calls that run at most
 * once.
 *
 * @param <S> the type of the state
 * @param <E> the type of the events
 * @param <F> the type of the effects
 */
public final class ReducerLoop<S, E, F> implements AutoCloseable {

	private final Reducer<S, E, F> reducer;

	private final int bound;

	private final Termination termination;

	private final Thread thread;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition arrived = this.lock.newCondition();

	private final Condition left = this.lock.newCondition();

	private final ArrayDeque<E> mailbox = new ArrayDeque<>();

	private volatile EffectRunner<F> runner = (effect) -> {
		throw new IllegalStateException("the loop has not started");
	};

	private volatile S state;

	private volatile boolean closed;

	/**
	 * Creates a loop that has not started; it admits events already.
	 * @param name the name of the thread
	 * @param reducer the reducer
	 * @param first the state before the first event
	 * @param bound the number of waiting events from which further ones are refused
	 * @param termination what is done if the reducer or the runner fails
	 */
	public ReducerLoop(String name, Reducer<S, E, F> reducer, S first, int bound, Termination termination) {
		if (bound < 1) {
			throw new IllegalArgumentException("a mailbox has room for one event or more, not " + bound);
		}
		this.reducer = reducer;
		this.state = Objects.requireNonNull(first, "first");
		this.bound = bound;
		this.termination = termination;
		this.thread = Thread.ofPlatform().name(name).daemon(true).unstarted(this::work);
	}

	/**
	 * Starts the loop.
	 * @param effects what runs the effects
	 * @throws IllegalThreadStateException if the loop was started before
	 */
	public void start(EffectRunner<F> effects) {
		this.runner = effects;
		this.thread.start();
	}

	/**
	 * Adds an event unless the mailbox is full.
	 * @param event the event
	 * @return whether the reducer will see the event
	 */
	public Admission offer(E event) {
		this.lock.lock();
		try {
			if (this.closed) {
				return Admission.CLOSED;
			}
			if (this.mailbox.size() >= this.bound) {
				return Admission.FULL;
			}
			add(event);
			return Admission.ADMITTED;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Adds an event that the reducer can't do without. Dropped only if the loop has
	 * ended.
	 * @param event the event
	 */
	public void post(E event) {
		this.lock.lock();
		try {
			if (!this.closed) {
				add(event);
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Adds an event once the mailbox has room. Never called by the loop's own thread,
	 * which alone makes room. Dropped only if the loop has ended.
	 * @param event the event
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	public void postWhenRoom(E event) throws InterruptedException {
		this.lock.lockInterruptibly();
		try {
			while (!this.closed && this.mailbox.size() >= this.bound) {
				this.left.await();
			}
			if (!this.closed) {
				add(event);
			}
		}
		finally {
			this.lock.unlock();
		}
	}

	private void add(E event) {
		this.mailbox.addLast(Objects.requireNonNull(event, "event"));
		this.arrived.signal();
	}

	/**
	 * Returns the state after the last event that was handled whole.
	 * @return the state
	 */
	public S state() {
		return this.state;
	}

	/**
	 * Returns the number of waiting events.
	 * @return the number of events
	 */
	public int waiting() {
		this.lock.lock();
		try {
			return this.mailbox.size();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the number of waiting events from which further ones are refused.
	 * @return the bound
	 */
	public int bound() {
		return this.bound;
	}

	private void work() {
		try {
			while (true) {
				E event = take();
				if (event == null) {
					return;
				}
				handle(event);
			}
		}
		catch (Throwable ex) {
			end();
			this.termination.terminate(ex);
		}
	}

	// Returns the next event, or null once the loop was closed.
	private E take() {
		this.lock.lock();
		try {
			while (this.mailbox.isEmpty() && !this.closed) {
				this.arrived.awaitUninterruptibly();
			}
			if (this.closed) {
				return null;
			}
			this.left.signal();
			return this.mailbox.removeFirst();
		}
		finally {
			this.lock.unlock();
		}
	}

	private void handle(E event) {
		Step<S, F> step = this.reducer.apply(this.state, event);
		for (F effect : step.effects()) {
			this.runner.run(effect);
		}
		this.state = step.state();
	}

	private void end() {
		this.lock.lock();
		try {
			this.closed = true;
			this.mailbox.clear();
			this.arrived.signalAll();
			this.left.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Ends the loop after the event in hand; events that still wait are dropped. Returns
	 * once the thread has ended, or at once if the thread itself calls.
	 */
	@Override
	public void close() {
		end();
		if (Thread.currentThread() == this.thread || !this.thread.isAlive()) {
			return;
		}
		try {
			this.thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
