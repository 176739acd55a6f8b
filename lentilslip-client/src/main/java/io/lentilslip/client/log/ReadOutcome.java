package io.lentilslip.client.log;

import java.util.List;

/**
 * How a read ended. Implementations are immutable and safe for use by several threads.
 */
public sealed interface ReadOutcome {

	/**
	 * Records in the order of their offsets, perhaps none. A reader that asked from below
	 * {@code first} has missed the records in between for good.
	 *
	 * @param first the oldest offset that is still kept
	 * @param next the offset of the next append
	 * @param records the records, all from the offset asked for
	 */
	record Records(long first, long next, List<LogRecord> records) implements ReadOutcome {

		/**
		 * Creates the outcome of a read.
		 * @param first the oldest offset that is still kept
		 * @param next the offset of the next append
		 * @param records the records, all from the offset asked for
		 */
		public Records {
			records = List.copyOf(records);
		}

	}

	/**
	 * The log could not be read.
	 *
	 * @param reason what happened, for people
	 */
	record Unavailable(String reason) implements ReadOutcome {

	}

}
