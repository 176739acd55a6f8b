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

	void add(LedgerEntry entry) {
		this.counts[kind(entry).ordinal()]++;
	}

	private static Kind kind(LedgerEntry entry) {
		return switch (entry) {
			case LedgerEntry.Reserved ignored -> Kind.RESERVED;
			case LedgerEntry.Settled ignored -> Kind.SETTLED;
			case LedgerEntry.UpstreamFailed ignored -> Kind.BLAMED;
		};
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
