package io.lentilslip.core.role;

import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.Notice;

/**
 * What a process of either role does. Implementations are immutable and safe for use by
 * several threads.
 */
public sealed interface NodeEffect {

	/**
	 * Append a ledger record to the log, in the order of these effects, together with
	 * others if that saves appends. Reported by {@link LogEvent.AppendEnded}.
	 *
	 * @param append the append
	 * @param record the record
	 */
	record AppendRecord(AppendId append, LedgerRecord record) implements NodeEffect {

	}

	/**
	 * Write a numbered event to the log of the process.
	 *
	 * @param notice the event
	 */
	record WriteNotice(Notice notice) implements NodeEffect {

	}

	/**
	 * Count something.
	 *
	 * @param measurement what to count
	 */
	record RecordMeasurement(Measurement measurement) implements NodeEffect {

	}

	/**
	 * All work is done and the process may end.
	 */
	record Stopped() implements NodeEffect {

	}

}
