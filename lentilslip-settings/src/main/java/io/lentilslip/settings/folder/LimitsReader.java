package io.lentilslip.settings.folder;

import java.time.Duration;

import io.lentilslip.core.configuration.Limits;
import io.lentilslip.core.configuration.Limits.DeadlineLimits;
import io.lentilslip.core.configuration.Limits.FaultLimits;
import io.lentilslip.core.configuration.Limits.ProgramLimits;
import io.lentilslip.core.configuration.Limits.QueueLimits;
import io.lentilslip.core.configuration.Limits.RequestLimits;
import io.lentilslip.settings.ini.SectionReader;
import io.lentilslip.settings.ini.ValueKind;

/**
 * Reads the section of limits, in which each key has a default. Where values contradict
 * each other, the problem is added and defaults are returned. Not safe for use by several
 * threads.
 */
final class LimitsReader {

	private static final int MOST = 10_000_000;

	private static final long MOST_BODY_BYTES = 256L << 20;

	private static final long MOST_HEADER_BYTES = 1L << 20;

	private final SectionReader section;

	/**
	 * Creates a reader.
	 * @param section reads the section of limits
	 */
	LimitsReader(SectionReader section) {
		this.section = section;
	}

	/**
	 * Returns the limits.
	 * @return the limits, unlisted ones with their defaults
	 */
	Limits read() {
		RequestLimits requests = requests();
		ProgramLimits programs = programs();
		DeadlineLimits deadlines = deadlines();
		QueueLimits queues = queues();
		FaultLimits faults = faults();
		Duration drainTime = duration(Keys.DRAIN_TIME, Limits.DEFAULT.drainTime());
		if (drainTime.compareTo(deadlines.maximum()) < 0) {
			this.section.require(false, Keys.DRAIN_TIME,
					"at least " + Keys.DEADLINE_MAXIMUM + ", so that a shutdown cuts off no request");
			return Limits.DEFAULT;
		}
		return new Limits(requests, programs, deadlines, queues, faults, drainTime);
	}

	private RequestLimits requests() {
		RequestLimits defaults = RequestLimits.DEFAULT;
		return new RequestLimits(bytes(Keys.BODY_BYTES, MOST_BODY_BYTES, defaults.bodyBytes()),
				Math.toIntExact(bytes(Keys.HEADER_BYTES, MOST_HEADER_BYTES, defaults.headerBytes())),
				count(Keys.OPEN_STREAMS, defaults.openStreams()),
				duration(Keys.STREAM_IDLE_TIME, defaults.streamIdleTime()));
	}

	private ProgramLimits programs() {
		ProgramLimits defaults = ProgramLimits.DEFAULT;
		return new ProgramLimits(count(Keys.PROGRAM_MESSAGES, defaults.messages()),
				count(Keys.PROGRAM_TURNS, defaults.turns()),
				count(Keys.PROGRAM_HISTORY_TOKENS, Math.toIntExact(defaults.historyTokens())),
				duration(Keys.PROGRAM_IDLE_TIME, defaults.idleTime()),
				duration(Keys.PROGRAM_LIFETIME, defaults.lifetime()),
				count(Keys.GROUP_PROGRAMS, defaults.openPerGroup()),
				count(Keys.PROGRAM_CHILDREN, defaults.childrenPerProgram()));
	}

	private DeadlineLimits deadlines() {
		DeadlineLimits defaults = DeadlineLimits.DEFAULT;
		Duration standard = duration(Keys.DEADLINE_STANDARD, defaults.standard());
		Duration maximum = duration(Keys.DEADLINE_MAXIMUM, defaults.maximum());
		if (standard.compareTo(maximum) > 0) {
			this.section.require(false, Keys.DEADLINE_STANDARD,
					"at most " + Keys.DEADLINE_MAXIMUM + " (" + maximum.toMillis() + "ms)");
			return defaults;
		}
		return new DeadlineLimits(standard, maximum);
	}

	private QueueLimits queues() {
		QueueLimits defaults = QueueLimits.DEFAULT;
		int perGroup = count(Keys.QUEUE_CALLS_PER_GROUP, defaults.callsPerGroup());
		int inAll = count(Keys.QUEUE_CALLS, defaults.callsInAll());
		if (perGroup > inAll) {
			this.section.require(false, Keys.QUEUE_CALLS_PER_GROUP, "at most " + Keys.QUEUE_CALLS + " (" + inAll + ")");
			return defaults;
		}
		return new QueueLimits(perGroup, inAll);
	}

	private FaultLimits faults() {
		FaultLimits defaults = FaultLimits.DEFAULT;
		return new FaultLimits(
				this.section.optional(Keys.RETRY_PERCENT, ValueKind.integer(0, 100)).orElse(defaults.retryPercent()),
				count(Keys.CRASHES_BEFORE_STOP, defaults.crashesBeforeStop()));
	}

	private int count(String key, int standard) {
		return this.section.optional(key, ValueKind.integer(1, MOST)).orElse(standard);
	}

	private long bytes(String key, long most, long standard) {
		return this.section.optional(key, ValueKind.bytes(most)).orElse(standard);
	}

	private Duration duration(String key, Duration standard) {
		return this.section.optional(key, ValueKind.DURATION).orElse(standard);
	}

}
