package io.lentilslip.core.model;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import io.lentilslip.core.ledger.Ledger;
import io.lentilslip.core.ledger.LedgerChange;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.Position;
import io.lentilslip.core.ledger.Turn;
import io.lentilslip.core.role.AppendResult;

/**
 * A log service with a total order. An append may fail, or take effect at once or later
 * while its answer is lost.
 */
final class FakeLog {

	final List<Stored> records = new ArrayList<>();

	final Deque<Append> asked = new ArrayDeque<>();

	final Deque<LedgerRecord> late = new ArrayDeque<>();

	private final Deque<Fault> faults = new ArrayDeque<>();

	private final Requests requests;

	boolean up = true;

	Ledger ledger = Ledger.withRetention(Ledger.RETENTION);

	FakeLog(Requests requests) {
		this.requests = requests;
	}

	void ask(LedgerRecord record, Consumer<AppendResult> answer) {
		this.asked.add(new Append(record, answer));
	}

	void plan(Fault fault) {
		this.faults.add(fault);
	}

	void forgetFaults() {
		this.faults.clear();
	}

	void answerNext(Instant now) {
		Append append = this.asked.remove();
		if (!this.up) {
			append.answer().accept(AppendResult.NOT_APPENDED);
			return;
		}
		Fault fault = this.faults.isEmpty() ? Fault.NONE : this.faults.remove();
		switch (fault) {
			case NONE -> {
				store(append.record(), now);
				append.answer().accept(AppendResult.APPENDED);
			}
			case REFUSED -> append.answer().accept(AppendResult.NOT_APPENDED);
			case ANSWER_LOST -> {
				store(append.record(), now);
				append.answer().accept(AppendResult.UNKNOWN);
			}
			case LOST -> append.answer().accept(AppendResult.UNKNOWN);
			case LATE -> {
				this.late.add(append.record());
				append.answer().accept(AppendResult.UNKNOWN);
			}
		}
	}

	void storeLate(Instant now) {
		store(this.late.remove(), now);
	}

	private void store(LedgerRecord record, Instant now) {
		Position position = new Position(this.records.size(), 0);
		this.records.add(new Stored(now, record));
		Ledger.ApplyResult reading = this.ledger.apply(position, now, record);
		this.ledger = reading.ledger();
		for (LedgerChange change : reading.changes()) {
			if (change instanceof LedgerChange.TurnAdded added) {
				this.requests.committed(added.turn());
			}
		}
	}

	List<Turn> history(Position last) {
		List<Turn> turns = new ArrayList<>();
		Position position = last;
		while (position != null) {
			LedgerRecord.TurnCommitted turn = (LedgerRecord.TurnCommitted) this.records.get((int) position.offset())
				.record();
			turns.addFirst(turn.turn());
			position = turn.previous().orElse(null);
		}
		return turns;
	}

	enum Fault {

		NONE, REFUSED, ANSWER_LOST, LOST, LATE

	}

	record Stored(Instant time, LedgerRecord record) {

	}

	record Append(LedgerRecord record, Consumer<AppendResult> answer) {

	}

}
