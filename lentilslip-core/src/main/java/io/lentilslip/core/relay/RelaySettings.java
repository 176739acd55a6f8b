package io.lentilslip.core.relay;

import java.time.Duration;

import io.lentilslip.core.quota.QuotaTolerance;

/**
 * What one relay is set to. Immutable and safe for use by several threads.
 *
 * @param zone its availability zone
 * @param weight its part of the processors of the site, relative to the weights of others
 * @param seed the seed of its random choices
 * @param turnCacheBytes the most bytes of turns' text that it has in memory
 * @param maxInputBytes the most bytes of the input of a turn that is kept, so that it and
 * its output fit into one record of the log
 * @param maxPrograms the most programs whose tokens it remembers
 * @param textPartition the partition of the log to which it writes texts
 * @param bootstrap whether the whole site starts for the first time, so that nothing was
 * given before
 * @param quotaTolerance how far the quotas of teams may be passed
 */
public record RelaySettings(String zone, int weight, long seed, long turnCacheBytes, int maxInputBytes, int maxPrograms,
		int textPartition, boolean bootstrap, QuotaTolerance quotaTolerance) {

	/**
	 * The part of a route's target within which a turn whose chain is not found is
	 * refused: soon enough for another relay to answer on time, and several times what a
	 * read of the log takes.
	 */
	static final int CHAIN_TIMEOUT_DIVISOR = 5;

	/**
	 * How long a turn waits for the relays that keep its program before the log is asked:
	 * several times what a message to another zone and back takes.
	 */
	static final Duration REPLICA_TIMEOUT = Duration.ofMillis(30);

	/**
	 * How long a turn waits for its place in the log before the other relays are asked
	 * too: several times what the log takes on a good day, a part of what a target
	 * allows.
	 */
	static final Duration LOG_DECISION_TIMEOUT = Duration.ofMillis(100);

	/**
	 * How long a turn waits for a majority of the other relays: many times what a message
	 * there and back takes.
	 */
	static final Duration QUORUM_TIMEOUT = Duration.ofMillis(60);

	/**
	 * How long nothing may have been written to the log when a relay first reads it, so
	 * that no outage counts as having come before: longer than the loss of all relays and
	 * a start take. An outage that fits in besides is taken for none; it is too short for
	 * more than one or two turns of a program without the log, and one turn is what a
	 * budget may be passed by.
	 */
	static final Duration RECENT_WRITE_AGE = Duration.ofSeconds(3);

	/**
	 * How long a relay that started waits for a majority of others to tell what they know
	 * beyond the log, before the log's own age decides: those that live are linked within
	 * a second.
	 */
	static final Duration SYNC_TIMEOUT = Duration.ofSeconds(2);

	/**
	 * How many turns of other relays get a place in the log at once.
	 */
	static final int MAX_PROXIED_RESERVATIONS = 1024;

	/**
	 * How many turns of other relays are written for them at once.
	 */
	static final int MAX_PROXIED_TURN_WRITES = 1024;

	/**
	 * How long a turn then waits on for the log, where it or another relay reaches it.
	 */
	static final Duration FINAL_LOG_DECISION_TIMEOUT = Duration.ofMillis(400);

	/**
	 * How many turns of one program are reckoned to begin at once at different relays,
	 * before these hear of each other: a turn and the sub-agents that start with it.
	 */
	static final int ASSUMED_CONCURRENT_TURNS = 5;

	/**
	 * When a caller is asked to come back after a refusal: long enough for a change of
	 * load to show, short enough to be within the third of its time that callers accept.
	 */
	static final Duration RETRY_AFTER = Duration.ofMillis(100);

	/**
	 * When a caller is asked to come back if something has to be restored first.
	 */
	static final Duration RETRY_AFTER_RECOVERY = Duration.ofMillis(300);

	/**
	 * When the caller of a turn is asked to come back if the log has to be read first:
	 * callers have two or three tries, and told to come back sooner they would have used
	 * them up by then.
	 */
	static final Duration RETRY_AFTER_LOG_READ = Duration.ofMillis(1000);

	/**
	 * How long a relay tries alone to write a kept turn before it asks others, and again
	 * after that: several times what a log takes that answers.
	 */
	static final Duration TURN_WRITE_TIMEOUT = Duration.ofMillis(80);

	/**
	 * How long a relay that does not reach the log waits before it asks others to write a
	 * kept turn: they have to have been told of the turn itself.
	 */
	static final Duration REPLICATION_DELAY = Duration.ofMillis(5);

	/**
	 * By how much relays differ in how long they wait for the log to show an entry of
	 * another relay: several times what one needs to read what another wrote.
	 */
	static final Duration ADOPTION_JITTER = Duration.ofMillis(2500);

	/**
	 * The pause between reads of the log after which it counts as having been away.
	 */
	static final Duration LOG_OUTAGE_THRESHOLD = Duration.ofMillis(1500);

}
