package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The platform's store, as relays use it. Every call answers exactly once, on the event
 * loop that the store was made for, and never throws. Used by that loop's thread.
 */
public interface Store {

	/**
	 * Appends records, all or none.
	 * @param topic a topic with one partition
	 * @param records the records
	 * @param then takes the outcome
	 */
	void append(Topic topic, List<byte[]> records, Consumer<AppendResult> then);

	/**
	 * Appends records to a partition of the texts, all or none.
	 * @param part the partition
	 * @param records the records
	 * @param then takes the outcome
	 */
	void appendTexts(int part, List<byte[]> records, Consumer<AppendResult> then);

	/**
	 * Reads some records of a partition of the texts in order.
	 * @param part the partition
	 * @param from the offset of the first record
	 * @param bytes about how many bytes to read at most
	 * @param then takes the outcome
	 */
	void readTexts(int part, long from, int bytes, Consumer<ReadResult> then);

	/**
	 * Sets or drops the newest record of a key.
	 * @param topic a topic with keys
	 * @param key the key
	 * @param value the value; empty drops the key
	 * @param then takes the outcome
	 */
	void put(Topic topic, String key, Optional<byte[]> value, Consumer<AppendResult> then);

	/**
	 * Reads records in order.
	 * @param topic the topic
	 * @param from the offset of the first record
	 * @param wait how long to wait for a record if there is none
	 * @param then takes the outcome
	 */
	void read(Topic topic, long from, Duration wait, Consumer<ReadResult> then);

	/**
	 * Reads the newest record of each key.
	 * @param topic a topic with keys
	 * @param then takes the outcome
	 */
	void readLatest(Topic topic, Consumer<LatestResult> then);

	/**
	 * The outcome of an append. Immutable.
	 */
	sealed interface AppendResult {

		/**
		 * The records are in the store.
		 *
		 * @param offset the offset of the first one
		 */
		record Success(long offset) implements AppendResult {

		}

		/**
		 * Nothing is known for sure: the records may be in the store, or come there yet.
		 *
		 * @param reason why
		 */
		record Unknown(String reason) implements AppendResult {

		}

		/**
		 * The store did not take the records and won't.
		 *
		 * @param reason why
		 */
		record Rejected(String reason) implements AppendResult {

		}

	}

	/**
	 * The outcome of a read. Immutable.
	 */
	sealed interface ReadResult {

		/**
		 * Records, perhaps none.
		 *
		 * @param records the records in order
		 * @param next the offset after them
		 * @param end the offset at which the topic ended
		 */
		record Records(List<StoredRecord> records, long nextOffset, long endOffset) implements ReadResult {

			/**
			 * Creates an outcome.
			 * @param records the records in order
			 * @param next the offset after them
			 * @param end the offset at which the topic ended
			 */
			public Records {
				records = List.copyOf(records);
			}

		}

		/**
		 * The records have been deleted.
		 *
		 * @param first the first offset that is left
		 */
		record Deleted(long firstOffset) implements ReadResult {

		}

		/**
		 * The store did not answer as it should.
		 *
		 * @param reason why
		 */
		record Failed(String reason) implements ReadResult {

		}

	}

	/**
	 * A record of a topic. Immutable; the array is shared and never written to.
	 *
	 * @param offset its offset
	 * @param key its key; empty in a topic without keys
	 * @param value its value; empty if the key is dropped
	 */
	record StoredRecord(long offset, Optional<String> key, Optional<byte[]> value) {

	}

	/**
	 * The outcome of reading the newest records. Immutable.
	 */
	sealed interface LatestResult {

		/**
		 * The newest record of each key.
		 *
		 * @param records the records
		 * @param end the offset at which the topic ended before they were read
		 */
		record Records(List<StoredRecord> records, long endOffset) implements LatestResult {

			/**
			 * Creates an outcome.
			 * @param records the records
			 * @param end the offset at which the topic ended before they were read
			 */
			public Records {
				records = List.copyOf(records);
			}

		}

		/**
		 * The store did not answer as it should.
		 *
		 * @param reason why
		 */
		record Failed(String reason) implements LatestResult {

		}

	}

}
