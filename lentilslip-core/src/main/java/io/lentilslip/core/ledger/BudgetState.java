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
 * Immutable view of a group's budget in one period, derived from the log. No reservation
 * exceeds the limit of the newest configuration in the records, and each record of an
 * entry counts at most once. Memory is bounded: at most {@value #MAX_ENTRIES} entries are
 * tracked, and earlier periods are discarded. Safe for use by several threads.
 *
 * @param configurationVersion the newest configuration version in the records
 * @param limit the limit of that configuration, in tokens per period
 * @param period the length of a period in that configuration
 * @param lastReservedAt the log's time of the last reservation under that configuration
 * @param periodIndex the number of the period, counted from the epoch of the log's clock
 * @param reserved the tokens reserved and not returned in the period
 * @param entries the usage of the entries that wrote records in the period
 */
public record BudgetState(long configurationVersion, long limit, Duration period, Instant lastReservedAt,
		long periodIndex, long reserved, Map<ProcessId, EntryUsage> entries) {

	/**
	 * The maximum number of tracked entries in one period; each incarnation counts
	 * separately.
	 */
	public static final int MAX_ENTRIES = 1024;

	static BudgetState create(LedgerRecord.SliceReserved record, Instant time) {
		return new BudgetState(record.configurationVersion(), record.limit(), record.period(), time,
				indexAt(time, record.period()), 0, HashMap.empty());
	}

	/**
	 * Returns the number of the period that contains a time.
	 * @param time the time
	 * @param period the length of a period
	 * @return the number of the period
	 */
	public static long indexAt(Instant time, Duration period) {
		return Math.floorDiv(time.toEpochMilli(), Math.max(1, period.toMillis()));
	}

	/**
	 * Returns the tokens that can still be reserved.
	 * @return the tokens, or 0 if the limit was lowered below the reserved tokens
	 */
	public long remaining() {
		return Math.max(0, this.limit - this.reserved);
	}

	/**
	 * Returns this state at the time of a record. The state of an earlier period is
	 * discarded. If the clock of the log was set back, the current period is kept:
	 * otherwise the budget of a period could be spent twice.
	 * @param time the log's time
	 * @return the state
	 */
	public BudgetState advanceTo(Instant time) {
		long newIndex = indexAt(time, this.period);
		return (newIndex <= this.periodIndex) ? this : new BudgetState(this.configurationVersion, this.limit,
				this.period, this.lastReservedAt, newIndex, 0, HashMap.empty());
	}

	BudgetState withConfigurationOf(LedgerRecord.SliceReserved record, Instant time) {
		BudgetState current = advanceTo(time);
		if (record.configurationVersion() < this.configurationVersion) {
			return current;
		}
		// Reservations are kept when the length of a period changes, since the new period
		// overlaps the old one.
		long newIndex = (record.period().equals(current.period)) ? current.periodIndex : indexAt(time, record.period());
		return new BudgetState(record.configurationVersion(), record.limit(), record.period(), time, newIndex,
				current.reserved, current.entries);
	}

	Decision reserve(LedgerRecord.SliceReserved record) {
		EntryUsage usage = usageOf(record.entry());
		if (record.sequence() <= usage.sequence()) {
			return new Decision(this, Optional.of(VoidReason.SLICE_REPEATED));
		}
		if (record.tokens() > remaining()) {
			return new Decision(
					with(record.entry(), new EntryUsage(record.sequence(), usage.reserved()), this.reserved),
					Optional.of(VoidReason.BUDGET_EXHAUSTED));
		}
		EntryUsage updated = new EntryUsage(record.sequence(), usage.reserved() + record.tokens());
		return new Decision(with(record.entry(), updated, this.reserved + record.tokens()), Optional.empty());
	}

	Decision returnTokens(LedgerRecord.SliceReturned record) {
		EntryUsage usage = usageOf(record.entry());
		if (record.sequence() <= usage.sequence()) {
			return new Decision(this, Optional.of(VoidReason.SLICE_REPEATED));
		}
		if (record.periodIndex() != this.periodIndex || record.tokens() > usage.reserved()) {
			return new Decision(this, Optional.of(VoidReason.SLICE_UNKNOWN));
		}
		EntryUsage updated = new EntryUsage(record.sequence(), usage.reserved() - record.tokens());
		return new Decision(with(record.entry(), updated, this.reserved - record.tokens()), Optional.empty());
	}

	private EntryUsage usageOf(ProcessId entry) {
		return this.entries.getOrElse(entry, EntryUsage.NONE);
	}

	private BudgetState with(ProcessId entry, EntryUsage usage, long total) {
		Map<ProcessId, EntryUsage> tracked = (this.entries.containsKey(entry) || this.entries.size() < MAX_ENTRIES)
				? this.entries : evictSmallest();
		return new BudgetState(this.configurationVersion, this.limit, this.period, this.lastReservedAt,
				this.periodIndex, total, tracked.put(entry, usage));
	}

	// Evicts the entry with the least reserved tokens, so that frequent restarts of
	// entries don't exhaust the memory. The evicted reservation stays in the total, and a
	// duplicate of its record could only reserve more tokens, so the limit holds.
	private Map<ProcessId, EntryUsage> evictSmallest() {
		Comparator<ProcessId> order = Comparator.comparing((ProcessId entry) -> usageOf(entry).reserved())
			.thenComparing(ProcessId::vm)
			.thenComparing((entry) -> entry.incarnation().value());
		return this.entries.keySet().minBy(order).map(this.entries::remove).getOrElse(this.entries);
	}

	/**
	 * The usage of an entry in a period.
	 *
	 * @param sequence the highest sequence number of its records
	 * @param reserved the tokens reserved and not returned
	 */
	public record EntryUsage(long sequence, long reserved) {

		static final EntryUsage NONE = new EntryUsage(Long.MIN_VALUE, 0);

	}

	/**
	 * The result of applying a record.
	 *
	 * @param state the state after it
	 * @param refusal why the record had no effect, or an empty result
	 */
	record Decision(BudgetState state, Optional<VoidReason> refusal) {

	}

}
