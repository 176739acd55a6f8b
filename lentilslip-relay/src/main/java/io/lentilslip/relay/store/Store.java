package io.lentilslip.relay.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Asynchronous client of the platform's store. Each call invokes its callback exactly
 * once, on the event loop that the client was created for, and never throws. Used by that
 * loop's thread.
 */
public interface Store {

	/**
	 * Appends records atomically.
	 * @param topic a topic with one partition
	 * @param records the records
	 * @param callback receives the result
	 */
	void append(Topic topic, List<byte[]> records, Consumer<AppendResult> callback);

	/**
	 * Appends records to a partition of the texts atomically.
	 * @param partition the partition
	 * @param records the records
	 * @param callback receives the result
	 */
	void appendTexts(int partition, List<byte[]> records, Consumer<AppendResult> callback);

	/**
	 * Reads records of a partition of the texts in order.
	 * @param partition the partition
	 * @param from the offset of the first record
	 * @param maxBytes the approximate maximum number of bytes to read
	 * @param callback receives the result
	 */
	void readTexts(int partition, long from, int maxBytes, Consumer<ReadResult> callback);

	/**
	 * Sets or deletes the latest record of a key.
	 * @param topic a compacted topic
	 * @param key the key
	 * @param value the value; empty deletes the key
	 * @param callback receives the result
	 */
	void put(Topic topic, String key, Optional<byte[]> value, Consumer<AppendResult> callback);

	/**
	 * Reads records in order. A read that does not wait is not delayed by one of the same
	 * topic that does.
	 * @param topic the topic
	 * @param from the offset of the first record
	 * @param maxWait how long to wait for a record if there is none
	 * @param callback receives the result
	 */
	void read(Topic topic, long from, Duration maxWait, Consumer<ReadResult> callback);

	/**
	 * Reads the latest record of each key.
	 * @param topic a compacted topic
	 * @param callback receives the result
	 */
	void readLatest(Topic topic, Consumer<LatestResult> callback);

	/**
	 * The result of an append. Immutable.
	 */
	sealed interface AppendResult {

		/**
		 * The records are stored.
		 *
		 * @param offset the offset of the first record
		 */
		record Success(long offset) implements AppendResult {

		}

		/**
		 * The outcome is unknown: the records may be stored already or later.
		 *
		 * @param reason the reason
		 */
		record Unknown(String reason) implements AppendResult {

		}

		/**
		 * The records are not stored and will not be.
		 *
		 * @param reason the reason
		 */
		record Rejected(String reason) implements AppendResult {

		}

		/**
		 * The store can never accept these records together. One of them may be invalid,
		 * or all may be too large for one call.
		 *
		 * @param reason the reason
		 */
		record Invalid(String reason) implements AppendResult {

		}

	}

	/**
	 * The result of a read. Immutable.
	 */
	sealed interface ReadResult {

		/**
		 * The records read; may be empty.
		 *
		 * @param records the records in order
		 * @param nextOffset the offset after them
		 * @param endOffset the end offset of the topic at the time of the read
		 */
		record Records(List<StoredRecord> records, long nextOffset, long endOffset) implements ReadResult {

			/**
			 * Creates a result.
			 * @param records the records in order
			 * @param nextOffset the offset after them
			 * @param endOffset the end offset of the topic at the time of the read
			 */
			public Records {
				records = List.copyOf(records);
			}

		}

		/**
		 * The requested records have been deleted.
		 *
		 * @param firstOffset the first offset that still exists
		 */
		record Deleted(long firstOffset) implements ReadResult {

		}

		/**
		 * The read failed.
		 *
		 * @param reason the reason
		 */
		record Failed(String reason) implements ReadResult {

		}

	}

	/**
	 * A record of a topic. Immutable; the array is shared and must not be modified.
	 *
	 * @param offset the offset
	 * @param key the key; empty in a topic without keys
	 * @param value the value; empty if the key was deleted
	 */
	record StoredRecord(long offset, Optional<String> key, Optional<byte[]> value) {

	}

	/**
	 * The result of reading the latest records. Immutable.
	 */
	sealed interface LatestResult {

		/**
		 * The latest record of each key.
		 *
		 * @param records the records
		 * @param endOffset the end offset of the topic before the records were read
		 */
		record Records(List<StoredRecord> records, long endOffset) implements LatestResult {

			/**
			 * Creates a result.
			 * @param records the records
			 * @param endOffset the end offset of the topic before the records were read
			 */
			public Records {
				records = List.copyOf(records);
			}

		}

		/**
		 * The read failed.
		 *
		 * @param reason the reason
		 */
		record Failed(String reason) implements LatestResult {

		}

	}

}
