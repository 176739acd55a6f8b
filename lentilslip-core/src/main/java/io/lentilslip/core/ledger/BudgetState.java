package io.lentilslip.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;

import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.ledger.LedgerChange.VoidReason;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;

/**
 * What the log says of the budget of a group in one period. Nothing is reserved that
 * would pass the limit of the newest configuration seen, and a record of an entry counts
 * once. The size is bounded: the state knows at most {@value #MOST_ENTRIES} entries and
 * nothing of earlier periods. Immutable and safe for use by several threads.
 *
 * @param configurationVersion the newest configuration that the records name
 * @param limit the tokens of one period in it
 * @param period the length of a period in it
 * @param lastReservedAt the log's time of the last reservation under it
 * @param periodIndex the number of the period, counted from the epoch of the log's clock
 * @param reserved the tokens reserved in the period and not returned
 * @param entries what the log knows of the entries that wrote in the period
 */
public record BudgetState(long configurationVersion, long limit, Duration period, Instant lastReservedAt,
		long periodIndex, long reserved, Map<ProcessId, EntryUsage> entries) {

	/**
	 * The most entries that are known in one period, by their lives.
	 */
	public static final int MAX_ENTRIES = 1024;

	static BudgetState create(LedgerRecord.SliceReserved record, Instant time) {
		return new BudgetState(record.configurationVersion(), record.limit(), record.period(), time,
				indexAt(time, record.period()), 0, HashMap.empty());
	}

	/**
	 * Returns the number of the period that a time is in.
	 * @param time the time
	 * @param period the length of a period
	 * @return the number of the period
	 */
	public static long indexAt(Instant time, Duration period) {
		return Math.floorDiv(time.toEpochMilli(), Math.max(1, period.toMillis()));
	}

	/**
	 * Returns the tokens that may be reserved yet.
	 * @return the tokens, none if the limit was lowered below what is reserved
	 */
	public long remaining() {
		return Math.max(0, this.limit - this.reserved);
	}

	/**
	 * Returns this state at the time of a record. A period that is over is forgotten. A
	 * time of an earlier period, which a clock of the log that was set back could bring,
	 * counts as the present one: else the budget of a period could be spent twice.
	 * @param time the log's time
	 * @return the state
	 */
	public BudgetState advanceTo(Instant time) {
		long next = indexAt(time, this.period);
		return (next <= this.periodIndex) ? this : new BudgetState(this.configurationVersion, this.limit, this.period,
				this.lastReservedAt, next, 0, HashMap.empty());
	}

	BudgetState withConfigurationOf(LedgerRecord.SliceReserved record, Instant time) {
		BudgetState current = advanceTo(time);
		if (record.configurationVersion() < this.configurationVersion) {
			return current;
		}
		// What is reserved stays so when the length of a period changes: the new period
		// overlaps the old one.
		long number = (record.period().equals(current.period)) ? current.periodIndex : indexAt(time, record.period());
		return new BudgetState(record.configurationVersion(), record.limit(), record.period(), time, number,
				current.reserved, current.entries);
	}

	Decision reserve(LedgerRecord.SliceReserved record) {
		EntryUsage part = usageOf(record.entry());
		if (record.sequence() <= part.sequence()) {
			return new Decision(this, Optional.of(VoidReason.SLICE_REPEATED));
		}
		if (record.tokens() > remaining()) {
			return new Decision(with(record.entry(), new EntryUsage(record.sequence(), part.reserved()), this.reserved),
					Optional.of(VoidReason.BUDGET_EXHAUSTED));
		}
		EntryUsage more = new EntryUsage(record.sequence(), part.reserved() + record.tokens());
		return new Decision(with(record.entry(), more, this.reserved + record.tokens()), Optional.empty());
	}

	Decision returnTokens(LedgerRecord.SliceReturned record) {
		EntryUsage part = usageOf(record.entry());
		if (record.sequence() <= part.sequence()) {
			return new Decision(this, Optional.of(VoidReason.SLICE_REPEATED));
		}
		if (record.periodIndex() != this.periodIndex || record.tokens() > part.reserved()) {
			return new Decision(this, Optional.of(VoidReason.SLICE_UNKNOWN));
		}
		EntryUsage less = new EntryUsage(record.sequence(), part.reserved() - record.tokens());
		return new Decision(with(record.entry(), less, this.reserved - record.tokens()), Optional.empty());
	}

	private EntryUsage usageOf(ProcessId entry) {
		return this.entries.getOrElse(entry, EntryUsage.NONE);
	}

	private BudgetState with(ProcessId entry, EntryUsage part, long total) {
		Map<ProcessId, EntryUsage> known = (this.entries.containsKey(entry) || this.entries.size() < MAX_ENTRIES)
				? this.entries : evictSmallest();
		return new BudgetState(this.configurationVersion, this.limit, this.period, this.lastReservedAt,
				this.periodIndex, total, known.put(entry, part));
	}

	// Makes room for an entry. Entries that start again and again would fill the memory
	// of every process. What the forgotten one reserved stays reserved, and a repeated
	// record of it could only reserve once more: the limit holds either way.
	private Map<ProcessId, EntryUsage> evictSmallest() {
		Comparator<ProcessId> order = Comparator.comparing((ProcessId entry) -> usageOf(entry).reserved())
			.thenComparing(ProcessId::vm)
			.thenComparing((entry) -> entry.incarnation().value());
		return this.entries.keySet().minBy(order).map(this.entries::remove).getOrElse(this.entries);
	}

	/**
	 * What the log knows of an entry in a period.
	 *
	 * @param sequence the highest sequence of its records
	 * @param reserved the tokens that it reserved and did not return
	 */
	public record EntryUsage(long sequence, long reserved) {

		static final EntryUsage NONE = new EntryUsage(Long.MIN_VALUE, 0);

	}

	/**
	 * What follows from a record.
	 *
	 * @param state the state after it
	 * @param refusal why it took no effect, if it took none
	 */
	record Decision(BudgetState state, Optional<VoidReason> refusal) {

	}

}
