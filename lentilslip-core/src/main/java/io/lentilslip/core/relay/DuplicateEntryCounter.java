package io.lentilslip.core.relay;

import java.util.ArrayList;
import java.util.List;

import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.measurement.Measurement.LogCopies.Kind;

/**
 * Adds up the entries that the log has shown before, until they are taken. Used by one
 * thread.
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
	 * Returns what was added since the last call.
	 * @return a measurement of each kind of which there was any
	 */
	List<Measurement> drain() {
		List<Measurement> taken = new ArrayList<>();
		for (Kind kind : KINDS) {
			if (this.counts[kind.ordinal()] > 0) {
				taken.add(new Measurement.LogCopies(kind, this.counts[kind.ordinal()]));
				this.counts[kind.ordinal()] = 0;
			}
		}
		return taken;
	}

}
