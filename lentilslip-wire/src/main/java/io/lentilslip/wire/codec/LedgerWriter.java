package io.lentilslip.wire.codec;

import java.util.List;

import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.Position;
import io.lentilslip.core.ledger.Turn;
import io.lentilslip.wire.generated.LedgerProtocol;

/**
 * Writes ledger records. Stateless and safe for use by several threads.
 */
final class LedgerWriter {

	private LedgerWriter() {
	}

	/**
	 * Writes a batch of records.
	 * @param records the records
	 * @return the generated message
	 */
	static LedgerProtocol.LedgerBatch write(List<LedgerRecord> records) {
		LedgerProtocol.LedgerBatch.Builder builder = LedgerProtocol.LedgerBatch.newBuilder();
		for (LedgerRecord ledgerRecord : records) {
			builder.addRecords(write(ledgerRecord));
		}
		return builder.build();
	}

	/**
	 * Writes the key of a call.
	 * @param key the key
	 * @return the generated message
	 */
	static LedgerProtocol.CallKey write(CallKey key) {
		LedgerProtocol.CallKey.Builder builder = LedgerProtocol.CallKey.newBuilder();
		return switch (key) {
			case CallKey.ForIdempotencyKey chosen -> builder.setIdempotency(write(chosen)).build();
			case CallKey.ForProgramCall numbered -> builder.setProgramCall(write(numbered)).build();
		};
	}

	private static LedgerProtocol.IdempotencyCallKey write(CallKey.ForIdempotencyKey key) {
		return LedgerProtocol.IdempotencyCallKey.newBuilder()
			.setGroup(key.group().value())
			.setKey(key.key().value())
			.build();
	}

	private static LedgerProtocol.ProgramCallKey write(CallKey.ForProgramCall key) {
		return LedgerProtocol.ProgramCallKey.newBuilder()
			.setProgram(CallWriter.write(key.program()))
			.setService(key.service().value())
			.setNumber(key.number())
			.build();
	}

	private static LedgerProtocol.LedgerRecord write(LedgerRecord ledgerRecord) {
		LedgerProtocol.LedgerRecord.Builder builder = LedgerProtocol.LedgerRecord.newBuilder();
		return switch (ledgerRecord) {
			case LedgerRecord.ProgramClaimed claimed -> builder.setProgramClaimed(write(claimed)).build();
			case LedgerRecord.TurnCommitted committed -> builder.setTurnCommitted(write(committed)).build();
			case LedgerRecord.ProgramEnded ended -> builder.setProgramEnded(write(ended)).build();
			case LedgerRecord.CallClaimed claimed -> builder.setCallClaimed(write(claimed)).build();
			case LedgerRecord.CallSettled settled -> builder.setCallSettled(write(settled)).build();
			case LedgerRecord.UpstreamCrashed blamed -> builder.setRequestBlamed(write(blamed)).build();
			case LedgerRecord.CrashesCleared cleared -> builder.setRequestCleared(write(cleared)).build();
			case LedgerRecord.SliceReserved reserved -> builder.setSliceReserved(write(reserved)).build();
			case LedgerRecord.SliceReturned returned -> builder.setSliceReturned(write(returned)).build();
		};
	}

	private static LedgerProtocol.ProgramClaimed write(LedgerRecord.ProgramClaimed claimed) {
		LedgerProtocol.ProgramClaimed.Builder builder = LedgerProtocol.ProgramClaimed.newBuilder()
			.setProgram(CallWriter.write(claimed.program()))
			.setEpoch(claimed.epoch().value())
			.setHome(CallWriter.write(claimed.home()));
		claimed.parent().ifPresent((parent) -> builder.setParent(CallWriter.write(parent)));
		return builder.build();
	}

	private static LedgerProtocol.TurnCommitted write(LedgerRecord.TurnCommitted committed) {
		LedgerProtocol.TurnCommitted.Builder builder = LedgerProtocol.TurnCommitted.newBuilder()
			.setProgram(CallWriter.write(committed.program()))
			.setEpoch(committed.epoch().value())
			.setTurn(write(committed.turn()));
		committed.previous().ifPresent((previous) -> builder.setPrevious(write(previous)));
		return builder.build();
	}

	private static LedgerProtocol.Turn write(Turn turn) {
		LedgerProtocol.Turn.Builder builder = LedgerProtocol.Turn.newBuilder()
			.setNumber(turn.number())
			.setContent(Fields.bytes(turn.content()))
			.addAllMessages(turn.messages())
			.setAnswer(CallWriter.write(turn.answer()));
		turn.key().ifPresent((key) -> builder.setKey(key.value()));
		return builder.build();
	}

	private static LedgerProtocol.Position write(Position position) {
		return LedgerProtocol.Position.newBuilder().setOffset(position.offset()).setIndex(position.index()).build();
	}

	private static LedgerProtocol.ProgramEnded write(LedgerRecord.ProgramEnded ended) {
		return LedgerProtocol.ProgramEnded.newBuilder()
			.setProgram(CallWriter.write(ended.program()))
			.setReason(LedgerReader.END_REASONS.write(ended.reason()))
			.build();
	}

	private static LedgerProtocol.CallClaimed write(LedgerRecord.CallClaimed claimed) {
		return LedgerProtocol.CallClaimed.newBuilder()
			.setKey(write(claimed.key()))
			.setContent(Fields.bytes(claimed.content()))
			.setExecutor(CallWriter.write(claimed.executor()))
			.build();
	}

	private static LedgerProtocol.CallSettled write(LedgerRecord.CallSettled settled) {
		return LedgerProtocol.CallSettled.newBuilder()
			.setKey(write(settled.key()))
			.setExecutor(CallWriter.write(settled.executor()))
			.setOutcome(CallWriter.write(settled.outcome()))
			.build();
	}

	private static LedgerProtocol.RequestBlamed write(LedgerRecord.UpstreamCrashed blamed) {
		return LedgerProtocol.RequestBlamed.newBuilder()
			.setContent(Fields.bytes(blamed.content()))
			.setSidecar(CallWriter.write(blamed.sidecar()))
			.setAlone(blamed.isolated())
			.build();
	}

	private static LedgerProtocol.RequestCleared write(LedgerRecord.CrashesCleared cleared) {
		return LedgerProtocol.RequestCleared.newBuilder()
			.setContent(Fields.bytes(cleared.content()))
			.setSidecar(CallWriter.write(cleared.sidecar()))
			.build();
	}

	private static LedgerProtocol.SliceReserved write(LedgerRecord.SliceReserved reserved) {
		return LedgerProtocol.SliceReserved.newBuilder()
			.setGroup(reserved.group().value())
			.setTokens(reserved.tokens())
			.setLimit(reserved.limit())
			.setPeriodNanos(Fields.nanos(reserved.period()))
			.setConfigurationVersion(reserved.configurationVersion())
			.setEntry(CallWriter.write(reserved.entry()))
			.setSequence(reserved.sequence())
			.build();
	}

	private static LedgerProtocol.SliceReturned write(LedgerRecord.SliceReturned returned) {
		return LedgerProtocol.SliceReturned.newBuilder()
			.setGroup(returned.group().value())
			.setPeriodIndex(returned.periodIndex())
			.setTokens(returned.tokens())
			.setEntry(CallWriter.write(returned.entry()))
			.setSequence(returned.sequence())
			.build();
	}

}
