package io.lentilslip.runtime.configuration;

/**
 * Decides which records of the stream {@code configuration} take effect. A record names
 * as its base the version it was made from, and takes effect if no later version took
 * effect before it (compare and publish). Of two operators who publish from one base, the
 * first in the log's order wins, and every process decides the same, since nothing but
 * offsets and bases enters the decision. Whether the files are valid does not: processes
 * of neighbouring releases might disagree on that and would then part for ever. An
 * invalid record that took effect is the base to publish from, although the configuration
 * before it stays in force.
 * <p>
 * Where records passed the retention of the log unread, the last version is known only as
 * "at most this offset". A record made from a base below that is undecided: the reader
 * can't know whether one of the missing records came in between, and waits for a peer
 * that does.
 * <p>
 * Immutable and safe for use by several threads.
 *
 * @param next the offset that is read next
 * @param head the last version that took effect, or the highest that it may be
 * @param exact whether the last version is the head itself
 */
public record ConfigurationLineage(long next, long head, boolean exact) {

	/**
	 * The version that stands for no configuration at all.
	 */
	public static final long NONE = -1;

	/**
	 * Creates a lineage.
	 * @param next the offset that is read next
	 * @param head the last version that took effect, or the highest that it may be
	 * @param exact whether the last version is the head itself
	 * @throws IllegalArgumentException if the head is not before the next offset
	 */
	public ConfigurationLineage {
		if (head < NONE || head >= next) {
			throw new IllegalArgumentException("version " + head + " can't be known before offset " + next);
		}
	}

	/**
	 * Returns the lineage of a process that has read nothing.
	 * @return the lineage at the beginning of the stream
	 */
	public static ConfigurationLineage atStart() {
		return new ConfigurationLineage(0, NONE, true);
	}

	/**
	 * Returns the lineage right after a version that is known to have taken effect, as a
	 * peer says of the one it offers. Records after it are read again from there.
	 * @param version the version
	 * @return the lineage after it
	 */
	public static ConfigurationLineage after(long version) {
		return new ConfigurationLineage(version + 1, version, true);
	}

	/**
	 * Returns the lineage after records that passed the retention of the log.
	 * @param first the oldest offset that is left
	 * @return the lineage before that offset
	 */
	public ConfigurationLineage afterGap(long first) {
		if (first <= this.next) {
			return this;
		}
		return new ConfigurationLineage(first, first - 1, false);
	}

	/**
	 * Returns what the next record means.
	 * @param base the version that the record was made from, or {@link #NONE}
	 * @return the decision and the lineage after the record
	 */
	public Decision read(long base) {
		long offset = this.next;
		if (base < NONE || base >= offset) {
			return new Decision(Effect.MALFORMED, skip());
		}
		if (base >= this.head) {
			return new Decision(Effect.TAKEN, after(offset));
		}
		if (this.exact) {
			return new Decision(Effect.SUPERSEDED, skip());
		}
		return new Decision(Effect.UNDECIDED, new ConfigurationLineage(offset + 1, offset, false));
	}

	/**
	 * Returns the lineage after a record that means nothing, such as one that can't be
	 * decoded.
	 * @return the lineage after the record
	 */
	public ConfigurationLineage skip() {
		return new ConfigurationLineage(this.next + 1, this.head, this.exact);
	}

	/**
	 * What a record means. Safe for use by several threads.
	 */
	public enum Effect {

		/**
		 * The record is the new version.
		 */
		TAKEN,

		/**
		 * Another version came first.
		 */
		SUPERSEDED,

		/**
		 * The records needed to decide have passed the retention of the log.
		 */
		UNDECIDED,

		/**
		 * The base is no version that can have stood before the record.
		 */
		MALFORMED

	}

	/**
	 * A decision on one record.
	 *
	 * @param effect what the record means
	 * @param after the lineage after the record
	 */
	public record Decision(Effect effect, ConfigurationLineage after) {

	}

}
