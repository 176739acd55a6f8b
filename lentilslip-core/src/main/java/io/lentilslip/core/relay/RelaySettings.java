package io.lentilslip.core.relay;

import java.time.Duration;

import io.lentilslip.core.quota.QuotaTolerance;

/**
 * Immutable settings of one relay. Safe for use by several threads.
 *
 * @param zone its availability zone
 * @param weight its share of the processors of the site, relative to other weights
 * @param seed the seed of its random number generator
 * @param turnCacheBytes the maximum bytes of stored turns that it has in memory
 * @param maxInputBytes the maximum bytes of the input of a stored turn, so that it can be
 * queued and sent to other relays
 * @param maxRecordBytes the maximum bytes of a record of the log; longer texts are split
 * @param maxPrograms the maximum number of programs whose token usage it tracks
 * @param textPartition the partition of the log to which it writes texts
 * @param bootstrap whether the whole site starts for the first time, so that there are no
 * earlier reservations
 * @param quotaTolerance the bound on exceeding the quotas of teams
 * @param logRetention for how long the log keeps a record; zero if without limit
 * @param admission whether new programs are refused while their service has no room
 */
public record RelaySettings(String zone, int weight, long seed, long turnCacheBytes, int maxInputBytes,
		int maxRecordBytes, int maxPrograms, int textPartition, boolean bootstrap, QuotaTolerance quotaTolerance,
		Duration logRetention, boolean admission) {

	/**
	 * The fraction of a route's latency target after which a turn without its chain is
	 * rejected. Leaves time for another relay to respond in time, and is several times
	 * what a read of the log takes.
	 */
	static final int CHAIN_TIMEOUT_DIVISOR = 5;

	/**
	 * The time to wait for the replicas of a program before a turn is decided through the
	 * log. Several times the round-trip time between availability zones.
	 */
	static final Duration REPLICA_TIMEOUT = Duration.ofMillis(30);

	/**
	 * The number of attempts over which a caller may resume a stream, each of which may
	 * last as long as the timeout of its route.
	 */
	static final int STREAM_ATTEMPTS = 3;

	/**
	 * The time to wait for a decision through the log before the other relays are asked
	 * as well. Several times the normal latency of the log, but a fraction of a latency
	 * target.
	 */
	static final Duration LOG_DECISION_TIMEOUT = Duration.ofMillis(100);

	/**
	 * The time to wait for a complete list of upstreams. Longer than a slow response of
	 * the store takes, since the next attempt would need another one; short enough for an
	 * attempt at another relay, which may be in step.
	 */
	static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(250);

	/**
	 * The time to wait for responses of a majority of relays.
	 */
	static final Duration QUORUM_TIMEOUT = Duration.ofMillis(60);

	/**
	 * The maximum age of the last log record at startup for which no preceding log outage
	 * is assumed. Longer than a restart of all relays. A shorter outage is not detected,
	 * but is too short for more than one or two turns of a program without the log, and a
	 * budget may be exceeded by one turn.
	 */
	static final Duration RECENT_WRITE_AGE = Duration.ofSeconds(3);

	/**
	 * The time that a relay waits after its start for the uncommitted entries of a
	 * majority, before the age of the last log record decides. Running relays are linked
	 * within a second.
	 */
	static final Duration SYNC_TIMEOUT = Duration.ofSeconds(2);

	/**
	 * The maximum number of concurrent log reservations on behalf of other relays.
	 */
	static final int MAX_PROXIED_RESERVATIONS = 1024;

	/**
	 * The maximum number of concurrent turn writes on behalf of other relays.
	 */
	static final int MAX_PROXIED_TURN_WRITES = 1024;

	/**
	 * The time to wait for the log after the other relays have responded, if this or
	 * another relay reaches it.
	 */
	static final Duration FINAL_LOG_DECISION_TIMEOUT = Duration.ofMillis(400);

	/**
	 * The number of turns of one program that are assumed to start concurrently at
	 * different relays, before the relays learn of each other's reservations: a turn and
	 * the sub-agents that start with it.
	 */
	static final int ASSUMED_CONCURRENT_TURNS = 5;

	/**
	 * The retry delay after a rejection: long enough for the load to change. Callers
	 * follow it up to a third of the time that they have left.
	 */
	static final Duration RETRY_AFTER = Duration.ofMillis(100);

	/**
	 * The retry delay if the relay has not yet recovered its state.
	 */
	static final Duration RETRY_AFTER_RECOVERY = Duration.ofMillis(300);

	/**
	 * The retry delay for turns if the log has to be read first. Callers make only two or
	 * three attempts, which a shorter delay would use up before the log is read.
	 */
	static final Duration RETRY_AFTER_LOG_READ = Duration.ofMillis(1000);

	/**
	 * The time that a relay waits for its write of a stored turn before it asks other
	 * relays to write the turn, and between further attempts. Several times the normal
	 * latency of the log.
	 */
	static final Duration TURN_WRITE_TIMEOUT = Duration.ofMillis(80);

	/**
	 * The delay before a relay that does not reach the log asks others to write a stored
	 * turn, so that the turn is replicated to them first.
	 */
	static final Duration REPLICATION_DELAY = Duration.ofMillis(5);

	/**
	 * The minimum time between the selection of an upstream and the write of the request
	 * that is reported. Many times the time to open a connection.
	 */
	static final Duration MIN_REPORTED_WRITE_DELAY = Duration.ofMillis(100);

	/**
	 * The jitter of the time that relays wait for an entry of another relay to appear in
	 * the log. Several times the time to read what another relay has written.
	 */
	static final Duration ADOPTION_JITTER = Duration.ofMillis(2500);

	/**
	 * The gap between reads of the log above which an outage of the log is assumed.
	 */
	static final Duration LOG_OUTAGE_THRESHOLD = Duration.ofMillis(1500);

	/**
	 * Returns the time between rounds in which turns are renewed before the log drops
	 * their records.
	 * @return the interval; zero if the log drops none
	 */
	public Duration renewalInterval() {
		return this.logRetention.dividedBy(RenewalRules.ROUNDS_PER_RETENTION);
	}

}
