package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.LogCopies.Kind;

/**
 * Counts log entries that had been read before, by kind, until the counts are drained.
 * Used by one thread.
 */
final class DuplicateEntryCounter {

	private static final Kind[] KINDS = Kind.values();

	private final long[] counts = new long[KINDS.length];

	/**
	 * Counts an entry. Renewed entries repeat others on purpose and are not counted.
	 * @param entry the entry
	 */
	void add(LedgerEntry entry) {
		switch (entry) {
			case LedgerEntry.Reserved ignored -> count(Kind.RESERVED);
			case LedgerEntry.Settled settled when settled.renewal() -> {
			}
			case LedgerEntry.Settled ignored -> count(Kind.SETTLED);
			case LedgerEntry.UpstreamFailed ignored -> count(Kind.BLAMED);
			case LedgerEntry.UsageRenewed ignored -> {
			}
		}
	}

	private void count(Kind kind) {
		this.counts[kind.ordinal()]++;
	}

	/**
	 * Returns the counts since the last call and resets them.
	 * @return one measurement for each kind with at least one duplicate
	 */
	List<Measurement> drain() {
		List<Measurement> drained = new ArrayList<>();
		for (Kind kind : KINDS) {
			if (this.counts[kind.ordinal()] > 0) {
				drained.add(new Measurement.LogCopies(kind, this.counts[kind.ordinal()]));
				this.counts[kind.ordinal()] = 0;
			}
		}
		return drained;
	}

}
