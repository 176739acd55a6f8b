package io.lentilslip.core.configuration;

import java.time.Duration;
import java.util.Objects;

/**
 * The bounds that keep one caller, program or fault from taking a site down while nobody
 * watches it. Each has a default; operators change single ones. The drain time is never
 * shorter than the longest deadline, so a graceful shutdown outlasts every request.
 * Immutable and safe for use by several threads.
 *
 * @param requests bounds of one request
 * @param programs bounds of one program and of a group's programs
 * @param deadlines times within which calls have to end
 * @param queues bounds of waiting calls
 * @param faults bounds of repeated work after faults
 * @param drainTime the longest a process that shuts down waits for its requests
 */
public record Limits(RequestLimits requests, ProgramLimits programs, DeadlineLimits deadlines, QueueLimits queues,
		FaultLimits faults, Duration drainTime) {

	/**
	 * The limits of a site whose operators change none.
	 */
	public static final Limits DEFAULT = new Limits(RequestLimits.DEFAULT, ProgramLimits.DEFAULT,
			DeadlineLimits.DEFAULT, QueueLimits.DEFAULT, FaultLimits.DEFAULT, Duration.ofMinutes(15));

	/**
	 * Creates limits.
	 * @param requests bounds of one request
	 * @param programs bounds of one program and of a group's programs
	 * @param deadlines times within which calls have to end
	 * @param queues bounds of waiting calls
	 * @param faults bounds of repeated work after faults
	 * @param drainTime the longest a process that shuts down waits for its requests
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
			throw new IllegalArgumentException("the drain time is shorter than the longest deadline");
		}
	}

	/**
	 * Bounds of one request.
	 *
	 * @param bodyBytes the most bytes of a request's body
	 * @param headerBytes the most bytes of a request's headers
	 * @param openStreams the most streams that one entry keeps open at once
	 * @param streamIdleTime the longest a stream may stay without a token
	 */
	public record RequestLimits(long bodyBytes, int headerBytes, int openStreams, Duration streamIdleTime) {

		/**
		 * The defaults. A history of 990,000 tokens sent whole takes some four bytes a
		 * token.
		 */
		public static final RequestLimits DEFAULT = new RequestLimits(8L << 20, 16 << 10, 4096, Duration.ofMinutes(1));

		/**
		 * Creates bounds.
		 * @param bodyBytes the most bytes of a request's body
		 * @param headerBytes the most bytes of a request's headers
		 * @param openStreams the most streams that one entry keeps open at once
		 * @param streamIdleTime the longest a stream may stay without a token
		 * @throws IllegalArgumentException if a bound is not positive
		 */
		public RequestLimits {
			Requirement.positive("body bytes", bodyBytes);
			Requirement.positive("header bytes", headerBytes);
			Requirement.positive("open streams", openStreams);
			Requirement.positive("stream idle time", streamIdleTime);
		}

	}

	/**
	 * Bounds of one program, so that a loop without end or a caller that went silent
	 * comes to an end, and of the programs that a group may have under way.
	 *
	 * @param messages the most messages of a program's history
	 * @param turns the most turns of a program
	 * @param historyTokens the most tokens of a program's history
	 * @param idleTime the longest a program may stay without a call
	 * @param lifetime the longest a program may last
	 * @param openPerGroup the most programs of a group that may be under way
	 * @param childrenPerProgram the most sub-agents that a program may have under way
	 */
	public record ProgramLimits(int messages, int turns, long historyTokens, Duration idleTime, Duration lifetime,
			int openPerGroup, int childrenPerProgram) {

		/**
		 * The defaults.
		 */
		public static final ProgramLimits DEFAULT = new ProgramLimits(4096, 520, 990_000, Duration.ofMinutes(30),
				Duration.ofDays(1), 2000, 64);

		/**
		 * Creates bounds.
		 * @param messages the most messages of a program's history
		 * @param turns the most turns of a program
		 * @param historyTokens the most tokens of a program's history
		 * @param idleTime the longest a program may stay without a call
		 * @param lifetime the longest a program may last
		 * @param openPerGroup the most programs of a group that may be under way
		 * @param childrenPerProgram the most sub-agents that a program may have under way
		 * @throws IllegalArgumentException if a bound is not positive
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
	 * Times within which calls have to end.
	 *
	 * @param standard the deadline of a call whose caller gives none
	 * @param maximum the longest deadline a caller may give
	 */
	public record DeadlineLimits(Duration standard, Duration maximum) {

		/**
		 * The defaults.
		 */
		public static final DeadlineLimits DEFAULT = new DeadlineLimits(Duration.ofMinutes(2), Duration.ofMinutes(15));

		/**
		 * Creates bounds.
		 * @param standard the deadline of a call whose caller gives none
		 * @param maximum the longest deadline a caller may give
		 * @throws IllegalArgumentException if a time is not positive or the standard is
		 * above the maximum
		 */
		public DeadlineLimits {
			Requirement.positive("standard deadline", standard);
			Requirement.positive("maximum deadline", maximum);
			if (standard.compareTo(maximum) > 0) {
				throw new IllegalArgumentException("the standard deadline is above the maximum");
			}
		}

	}

	/**
	 * Bounds of the calls that wait in one process.
	 *
	 * @param callsPerGroup the most waiting calls of one group
	 * @param callsInAll the most waiting calls of all groups together
	 */
	public record QueueLimits(int callsPerGroup, int callsInAll) {

		/**
		 * The defaults.
		 */
		public static final QueueLimits DEFAULT = new QueueLimits(1000, 10_000);

		/**
		 * Creates bounds.
		 * @param callsPerGroup the most waiting calls of one group
		 * @param callsInAll the most waiting calls of all groups together
		 * @throws IllegalArgumentException if a bound is not positive or that of one
		 * group is above that of all
		 */
		public QueueLimits {
			Requirement.positive("waiting calls of a group", callsPerGroup);
			Requirement.positive("waiting calls", callsInAll);
			if (callsPerGroup > callsInAll) {
				throw new IllegalArgumentException("one group may have more waiting calls than all groups");
			}
		}

	}

	/**
	 * Bounds of repeated work after faults.
	 *
	 * @param retryPercent the most retries for every hundred first attempts
	 * @param crashesBeforeStop the upstreams a request may crash before it is refused
	 */
	public record FaultLimits(int retryPercent, int crashesBeforeStop) {

		/**
		 * The defaults.
		 */
		public static final FaultLimits DEFAULT = new FaultLimits(10, 2);

		private static final int ALL = 100;

		/**
		 * Creates bounds.
		 * @param retryPercent the most retries for every hundred first attempts
		 * @param crashesBeforeStop the upstreams a request may crash before it is refused
		 * @throws IllegalArgumentException if the retries are not from 0 to 100, or no
		 * crash is allowed
		 */
		public FaultLimits {
			Requirement.notNegative("retry percentage", retryPercent);
			Requirement.positive("crashes before a request is stopped", crashesBeforeStop);
			if (retryPercent > ALL) {
				throw new IllegalArgumentException("more than " + ALL + " retries in a hundred");
			}
		}

	}

}
