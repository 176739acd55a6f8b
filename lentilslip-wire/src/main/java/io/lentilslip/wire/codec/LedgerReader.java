package io.lentilslip.wire.codec;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.identity.IdempotencyKey;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.ledger.EndReason;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.Position;
import io.lentilslip.core.ledger.Turn;
import io.lentilslip.wire.generated.CallProtocol;
import io.lentilslip.wire.generated.LedgerProtocol;

/**
 * Reads ledger records and checks each field. Immutable and safe for use by several
 * threads.
 */
final class LedgerReader {

	/**
	 * The most records of a batch.
	 */
	static final int MAXIMUM_RECORDS = 10_000;

	static final EnumMapping<EndReason, CallProtocol.EndReason> END_REASONS = EnumMapping.between(EndReason.class,
			CallProtocol.EndReason.class, "END_REASON_");

	private final int version;

	private final CallReader calls;

	/**
	 * Creates a reader.
	 * @param version the version that the sender's program writes
	 */
	LedgerReader(int version) {
		this.version = version;
		this.calls = new CallReader(version);
	}

	/**
	 * Reads a batch of records.
	 * @param message the generated message
	 * @return the records
	 */
	List<LedgerRecord> batch(LedgerProtocol.LedgerBatch message) {
		return Fields.bounded(message.getRecordsList(), MAXIMUM_RECORDS, "records")
			.stream()
			.map(this::ledgerRecord)
			.toList();
	}

	/**
	 * Reads the key of a call.
	 * @param message the generated message
	 * @return the key
	 */
	CallKey key(LedgerProtocol.CallKey message) {
		return switch (message.getKindCase()) {
			case IDEMPOTENCY -> chosenKey(message.getIdempotency());
			case PROGRAM_CALL -> numberedKey(message.getProgramCall());
			case KIND_NOT_SET -> throw Fields.unknownKind("key", this.version);
		};
	}

	/**
	 * Reads an epoch.
	 * @param value the number that was read
	 * @return the epoch
	 */
	Epoch epoch(long value) {
		return new Epoch(Fields.count(value, "epoch"));
	}

	private CallKey chosenKey(LedgerProtocol.IdempotencyCallKey message) {
		return new CallKey.ForIdempotencyKey(this.calls.group(message.getGroup()),
				this.calls.idempotencyKey(message.getKey()));
	}

	private CallKey numberedKey(LedgerProtocol.ProgramCallKey message) {
		return new CallKey.ForProgramCall(program(message.hasProgram(), message.getProgram()),
				this.calls.service(message.getService()), Fields.ordinal(message.getNumber(), "number"));
	}

	private LedgerRecord ledgerRecord(LedgerProtocol.LedgerRecord message) {
		return switch (message.getKindCase()) {
			case PROGRAM_CLAIMED -> programClaimed(message.getProgramClaimed());
			case TURN_COMMITTED -> turnCommitted(message.getTurnCommitted());
			case PROGRAM_ENDED -> programEnded(message.getProgramEnded());
			case CALL_CLAIMED -> callClaimed(message.getCallClaimed());
			case CALL_SETTLED -> callSettled(message.getCallSettled());
			case REQUEST_BLAMED -> requestBlamed(message.getRequestBlamed());
			case REQUEST_CLEARED -> requestCleared(message.getRequestCleared());
			case SLICE_RESERVED -> sliceReserved(message.getSliceReserved());
			case SLICE_RETURNED -> sliceReturned(message.getSliceReturned());
			case KIND_NOT_SET -> throw Fields.unknownKind("record", this.version);
		};
	}

	private LedgerRecord programClaimed(LedgerProtocol.ProgramClaimed message) {
		Fields.require(message.hasHome(), "home");
		Optional<ProgramId> parent = message.hasParent() ? Optional.of(this.calls.program(message.getParent()))
				: Optional.empty();
		return new LedgerRecord.ProgramClaimed(program(message.hasProgram(), message.getProgram()),
				epoch(message.getEpoch()), this.calls.process(message.getHome()), parent);
	}

	private LedgerRecord turnCommitted(LedgerProtocol.TurnCommitted message) {
		Fields.require(message.hasTurn(), "turn");
		Optional<Position> previous = message.hasPrevious() ? Optional.of(position(message.getPrevious()))
				: Optional.empty();
		return new LedgerRecord.TurnCommitted(program(message.hasProgram(), message.getProgram()),
				epoch(message.getEpoch()), turn(message.getTurn()), previous);
	}

	private Turn turn(LedgerProtocol.Turn message) {
		Fields.require(message.hasAnswer(), "answer");
		Optional<IdempotencyKey> key = message.hasKey() ? Optional.of(this.calls.idempotencyKey(message.getKey()))
				: Optional.empty();
		return new Turn(Fields.ordinal(message.getNumber(), "number"), Fields.digest(message.getContent(), "content"),
				key, this.calls.messages(message.getMessagesList()), this.calls.modelAnswer(message.getAnswer()));
	}

	private Position position(LedgerProtocol.Position message) {
		return new Position(Fields.count(message.getOffset(), "offset"), Fields.count(message.getIndex(), "index"));
	}

	private LedgerRecord programEnded(LedgerProtocol.ProgramEnded message) {
		return new LedgerRecord.ProgramEnded(program(message.hasProgram(), message.getProgram()),
				END_REASONS.read(message.getReason(), "reason", this.version));
	}

	private LedgerRecord callClaimed(LedgerProtocol.CallClaimed message) {
		Fields.require(message.hasKey(), "key");
		Fields.require(message.hasExecutor(), "executor");
		return new LedgerRecord.CallClaimed(key(message.getKey()), Fields.digest(message.getContent(), "content"),
				this.calls.process(message.getExecutor()));
	}

	private LedgerRecord callSettled(LedgerProtocol.CallSettled message) {
		Fields.require(message.hasKey(), "key");
		Fields.require(message.hasExecutor(), "executor");
		Fields.require(message.hasOutcome(), "outcome");
		return new LedgerRecord.CallSettled(key(message.getKey()), this.calls.process(message.getExecutor()),
				this.calls.outcome(message.getOutcome()));
	}

	private LedgerRecord requestBlamed(LedgerProtocol.RequestBlamed message) {
		Fields.require(message.hasSidecar(), "sidecar");
		return new LedgerRecord.UpstreamCrashed(Fields.digest(message.getContent(), "content"),
				this.calls.process(message.getSidecar()), message.getAlone());
	}

	private LedgerRecord requestCleared(LedgerProtocol.RequestCleared message) {
		Fields.require(message.hasSidecar(), "sidecar");
		return new LedgerRecord.CrashesCleared(Fields.digest(message.getContent(), "content"),
				this.calls.process(message.getSidecar()));
	}

	private LedgerRecord sliceReserved(LedgerProtocol.SliceReserved message) {
		Fields.require(message.hasEntry(), "entry");
		Duration period = Fields.duration(message.getPeriodNanos(), "period");
		if (period.compareTo(LedgerRecord.SliceReserved.MIN_PERIOD) < 0) {
			throw Fields.invalid("period", "shorter than any period");
		}
		return new LedgerRecord.SliceReserved(this.calls.group(message.getGroup()), tokens(message.getTokens()),
				Fields.count(message.getLimit(), "limit"), period, message.getConfigurationVersion(),
				this.calls.process(message.getEntry()), Fields.count(message.getSequence(), "sequence"));
	}

	private LedgerRecord sliceReturned(LedgerProtocol.SliceReturned message) {
		Fields.require(message.hasEntry(), "entry");
		return new LedgerRecord.SliceReturned(this.calls.group(message.getGroup()), message.getPeriodIndex(),
				tokens(message.getTokens()), this.calls.process(message.getEntry()),
				Fields.count(message.getSequence(), "sequence"));
	}

	private static long tokens(long value) {
		if (value < 1) {
			throw Fields.invalid("tokens", "not positive");
		}
		return value;
	}

	private ProgramId program(boolean present, CallProtocol.ProgramId message) {
		Fields.require(present, "program");
		return this.calls.program(message);
	}

}
