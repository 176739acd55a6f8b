package io.lentilslip.core.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * Immutable limits that protect a site from overload by a single caller, program or
 * fault. Each has a default that operators may override. The drain time is at least the
 * longest deadline, so that a graceful shutdown completes all requests. Thread-safe.
 *
 * @param requests limits of a request
 * @param programs limits of a program and of a group's programs
 * @param deadlines deadlines of calls
 * @param queues limits of waiting calls
 * @param faults limits of retries and crashes
 * @param drainTime the maximum time that a shutdown waits for requests
 */
public record Limits(RequestLimits requests, ProgramLimits programs, DeadlineLimits deadlines, QueueLimits queues,
		FaultLimits faults, Duration drainTime) {

	/**
	 * The default limits.
	 */
	public static final Limits DEFAULT = new Limits(RequestLimits.DEFAULT, ProgramLimits.DEFAULT,
			DeadlineLimits.DEFAULT, QueueLimits.DEFAULT, FaultLimits.DEFAULT, Duration.ofMinutes(15));

	/**
	 * Creates limits.
	 * @param requests limits of a request
	 * @param programs limits of a program and of a group's programs
	 * @param deadlines deadlines of calls
	 * @param queues limits of waiting calls
	 * @param faults limits of retries and crashes
	 * @param drainTime the maximum time that a shutdown waits for requests
	 * @throws IllegalArgumentException if the drain time is shorter than the longest
	 * deadline
	 */
	public Limits {
		Objects.requireNonNull(requests, "requests");
		Objects.requireNonNull(programs, "programs");
		Objects.requireNonNull(deadlines, "deadlines");
		Objects.requireNonNull(queues, "queues");
		Objects.requireNonNull(faults, "faults");
		if (drainTime.compareTo(deadlines.maximum()) < 0) {
			throw new IllegalArgumentException("drain time must not be shorter than the maximum deadline");
		}
	}

	/**
	 * Limits of a request.
	 *
	 * @param bodyBytes the maximum size of a request's body in bytes
	 * @param headerBytes the maximum size of a request's headers in bytes
	 * @param openStreams the maximum number of open streams of an entry
	 * @param streamIdleTime the maximum time between tokens of a stream
	 */
	public record RequestLimits(long bodyBytes, int headerBytes, int openStreams, Duration streamIdleTime) {

		/**
		 * The defaults. The body size allows for a full history at about four bytes per
		 * token.
		 */
		public static final RequestLimits DEFAULT = new RequestLimits(8L << 20, 16 << 10, 4096, Duration.ofMinutes(1));

		/**
		 * Creates limits.
		 * @param bodyBytes the maximum size of a request's body in bytes
		 * @param headerBytes the maximum size of a request's headers in bytes
		 * @param openStreams the maximum number of open streams of an entry
		 * @param streamIdleTime the maximum time between tokens of a stream
		 * @throws IllegalArgumentException if a limit is not positive
		 */
		public RequestLimits {
			Requirement.positive("body bytes", bodyBytes);
			Requirement.positive("header bytes", headerBytes);
			Requirement.positive("open streams", openStreams);
			Requirement.positive("stream idle time", streamIdleTime);
		}

	}

	/**
	 * Limits of a program, which end infinite loops and abandoned programs, and of the
	 * open programs of a group.
	 *
	 * @param messages the maximum number of messages in a program's history
	 * @param turns the maximum number of turns of a program
	 * @param historyTokens the maximum number of tokens in a program's history
	 * @param idleTime the maximum time between calls of a program
	 * @param lifetime the maximum lifetime of a program
	 * @param openPerGroup the maximum number of open programs of a group
	 * @param childrenPerProgram the maximum number of open sub-agents of a program
	 */
	public record ProgramLimits(int messages, int turns, long historyTokens, Duration idleTime, Duration lifetime,
			int openPerGroup, int childrenPerProgram) {

		/**
		 * The defaults.
		 */
		public static final ProgramLimits DEFAULT = new ProgramLimits(4096, 520, 990_000, Duration.ofMinutes(30),
				Duration.ofDays(1), 2000, 64);

		/**
		 * Creates limits.
		 * @param messages the maximum number of messages in a program's history
		 * @param turns the maximum number of turns of a program
		 * @param historyTokens the maximum number of tokens in a program's history
		 * @param idleTime the maximum time between calls of a program
		 * @param lifetime the maximum lifetime of a program
		 * @param openPerGroup the maximum number of open programs of a group
		 * @param childrenPerProgram the maximum number of open sub-agents of a program
		 * @throws IllegalArgumentException if a limit is not positive
		 */
		public ProgramLimits {
			Requirement.positive("messages", messages);
			Requirement.positive("turns", turns);
			Requirement.positive("history tokens", historyTokens);
			Requirement.positive("idle time", idleTime);
			Requirement.positive("lifetime", lifetime);
			Requirement.positive("open programs of a group", openPerGroup);
			Requirement.positive("children of a program", childrenPerProgram);
		}

	}

	/**
	 * Deadlines of calls.
	 *
	 * @param standard the deadline if the caller sends none
	 * @param maximum the maximum deadline that a caller may send
	 */
	public record DeadlineLimits(Duration standard, Duration maximum) {

		/**
		 * The defaults.
		 */
		public static final DeadlineLimits DEFAULT = new DeadlineLimits(Duration.ofMinutes(2), Duration.ofMinutes(15));

		/**
		 * Creates limits.
		 * @param standard the deadline if the caller sends none
		 * @param maximum the maximum deadline that a caller may send
		 * @throws IllegalArgumentException if a deadline is not positive or the standard
		 * one exceeds the maximum
		 */
		public DeadlineLimits {
			Requirement.positive("standard deadline", standard);
			Requirement.positive("maximum deadline", maximum);
			if (standard.compareTo(maximum) > 0) {
				throw new IllegalArgumentException("standard deadline must not exceed the maximum deadline");
			}
		}

	}

	/**
	 * Limits of the calls queued in one process.
	 *
	 * @param callsPerGroup the maximum number of waiting calls of one group
	 * @param callsInAll the maximum number of waiting calls of all groups
	 */
	public record QueueLimits(int callsPerGroup, int callsInAll) {

		/**
		 * The defaults.
		 */
		public static final QueueLimits DEFAULT = new QueueLimits(1000, 10_000);

		/**
		 * Creates limits.
		 * @param callsPerGroup the maximum number of waiting calls of one group
		 * @param callsInAll the maximum number of waiting calls of all groups
		 * @throws IllegalArgumentException if a limit is not positive or that of one
		 * group exceeds that of all groups
		 */
		public QueueLimits {
			Requirement.positive("waiting calls of a group", callsPerGroup);
			Requirement.positive("waiting calls", callsInAll);
			if (callsPerGroup > callsInAll) {
				throw new IllegalArgumentException("waiting calls of a group must not exceed those of all groups");
			}
		}

	}

	/**
	 * Limits of retries and crashes.
	 *
	 * @param retryPercent the maximum number of retries per hundred first attempts
	 * @param crashesBeforeStop the number of upstream crashes after which a request is
	 * rejected
	 */
	public record FaultLimits(int retryPercent, int crashesBeforeStop) {

		/**
		 * The defaults.
		 */
		public static final FaultLimits DEFAULT = new FaultLimits(10, 2);

		private static final int MAX_PERCENT = 100;

		/**
		 * Creates limits.
		 * @param retryPercent the maximum number of retries per hundred first attempts
		 * @param crashesBeforeStop the number of upstream crashes after which a request
		 * is rejected
		 * @throws IllegalArgumentException if the retry percentage is not from 0 to 100
		 * or the number of crashes is not positive
		 */
		public FaultLimits {
			Requirement.notNegative("retry percentage", retryPercent);
			Requirement.positive("crashes before a request is stopped", crashesBeforeStop);
			if (retryPercent > MAX_PERCENT) {
				throw new IllegalArgumentException("retries must be at most " + MAX_PERCENT + " percent");
			}
		}

	}

}
