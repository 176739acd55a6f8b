package io.lentilslip.core.role;

import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.measurement.Measurement;
import io.lentilslip.core.notice.Notice;

/**
 * Effect of a process of either role. Implementations are immutable and thread-safe.
 */
public sealed interface NodeEffect {

	/**
	 * Appends a ledger record to the log. Records are appended in the order of their
	 * effects and may be batched. Reported by {@link LogEvent.AppendEnded}.
	 *
	 * @param append the append
	 * @param record the record
	 */
	record AppendRecord(AppendId append, LedgerRecord record) implements NodeEffect {

	}

	/**
	 * Writes a numbered event to the process log.
	 *
	 * @param notice the event
	 */
	record WriteNotice(Notice notice) implements NodeEffect {

	}

	/**
	 * Records a measurement.
	 *
	 * @param measurement the measurement
	 */
	record RecordMeasurement(Measurement measurement) implements NodeEffect {

	}

	/**
	 * All work is done and the process may exit.
	 */
	record Stopped() implements NodeEffect {

	}

}
