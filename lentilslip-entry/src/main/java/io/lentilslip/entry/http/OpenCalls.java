package io.lentilslip.entry.http;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import io.lentilslip.core.entry.Ticket;

/**
 * The requests that wait for their answers, up to a bound. A ticket stands for one
 * request for all times, so an answer that comes late, after its caller has gone, meets
 * nobody. Safe for use by several threads.
 */
final class OpenCalls {

	private final IntSupplier limit;

	private final Map<Ticket, PendingCall> calls = new ConcurrentHashMap<>();

	private final AtomicInteger count = new AtomicInteger();

	private final AtomicLong lastTicket = new AtomicLong();

	/**
	 * Creates a table without calls.
	 * @param limit the most calls
	 */
	OpenCalls(IntSupplier limit) {
		this.limit = limit;
	}

	/**
	 * Returns a number that no request has had.
	 * @return the number
	 */
	Ticket nextTicket() {
		return new Ticket(this.lastTicket.incrementAndGet());
	}

	/**
	 * Adds a call, unless there are as many as there may be.
	 * @param ticket the number of the request
	 * @param call the call
	 * @return whether the call was added
	 */
	boolean add(Ticket ticket, PendingCall call) {
		if (this.count.incrementAndGet() > this.limit.getAsInt()) {
			this.count.decrementAndGet();
			return false;
		}
		this.calls.put(ticket, call);
		return true;
	}

	/**
	 * Takes a call out.
	 * @param ticket the number of the request
	 * @return the call, or an empty result if it has ended
	 */
	Optional<PendingCall> remove(Ticket ticket) {
		Optional<PendingCall> removed = Optional.ofNullable(this.calls.remove(ticket));
		removed.ifPresent((call) -> this.count.decrementAndGet());
		return removed;
	}

	/**
	 * Does something with a call that stays in, on the event loop of its connection.
	 * @param ticket the number of the request
	 * @param action what to do
	 */
	void with(Ticket ticket, Consumer<PendingCall> action) {
		Optional.ofNullable(this.calls.get(ticket)).ifPresent((call) -> run(call, action));
	}

	/**
	 * Takes a call out and ends it, on the event loop of its connection.
	 * @param ticket the number of the request
	 * @param action how to end it
	 */
	void end(Ticket ticket, Consumer<PendingCall> action) {
		remove(ticket).ifPresent((call) -> run(call, action));
	}

	private static void run(PendingCall call, Consumer<PendingCall> action) {
		call.exchange().execute(() -> action.accept(call));
	}

	/**
	 * Returns the number of calls.
	 * @return the number of calls
	 */
	int size() {
		return this.count.get();
	}

}
