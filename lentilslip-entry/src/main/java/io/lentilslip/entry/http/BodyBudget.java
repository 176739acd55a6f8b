package io.lentilslip.entry.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The bytes that all request bodies of a port may take together. Without it, as many
 * callers as there are connections could each send a body just under the limit of one,
 * and the process would run out of memory with every call in it. Safe for use by several
 * threads.
 */
final class BodyBudget {

	private final long limit;

	private final AtomicLong taken = new AtomicLong();

	/**
	 * Creates a budget of which nothing is taken.
	 * @param limit the most bytes
	 */
	BodyBudget(long limit) {
		this.limit = limit;
	}

	/**
	 * Returns the bytes taken.
	 * @return the bytes taken
	 */
	long taken() {
		return this.taken.get();
	}

	/**
	 * Returns a part of this budget for one connection.
	 * @return the part, of which nothing is taken
	 */
	Part part() {
		return new Part();
	}

	/**
	 * What one connection has taken. Confined to the event loop of the connection.
	 */
	final class Part {

		private long held;

		/**
		 * Takes bytes.
		 * @param bytes the number of bytes
		 * @throws Exhausted if the budget has not as many left
		 */
		void take(int bytes) {
			if (BodyBudget.this.taken.addAndGet(bytes) > BodyBudget.this.limit) {
				BodyBudget.this.taken.addAndGet(-bytes);
				throw new Exhausted();
			}
			this.held += bytes;
		}

		/**
		 * Gives back all that was taken.
		 */
		void free() {
			BodyBudget.this.taken.addAndGet(-this.held);
			this.held = 0;
		}

	}

	/**
	 * A failure to take bytes. Safe for use by several threads.
	 */
	static final class Exhausted extends RuntimeException {

		/**
		 * Creates a failure, without the trace that nobody reads.
		 */
		Exhausted() {
			super("request bodies take as much memory as they may", null, false, false);
		}

	}

}
