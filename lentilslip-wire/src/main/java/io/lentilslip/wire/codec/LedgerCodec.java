package io.lentilslip.wire.codec;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.wire.generated.LedgerProtocol;
import io.vavr.control.Either;

/**
 * Codec between a batch of ledger records and the bytes of one log record.
 * <p>
 * The bytes bear a checksum: protobuf reads most messages that were cut at the end of a
 * field without complaint, and a batch that has lost a record would let two processes
 * decide differently. A batch that holds a record of an unknown kind is refused as a
 * whole for the same reason. Stateless and safe for use by several threads.
 */
public final class LedgerCodec {

	private LedgerCodec() {
	}

	/**
	 * Writes a batch.
	 * @param records the records in their order
	 * @return the bytes of one log record
	 */
	public static byte[] encode(List<LedgerRecord> records) {
		ByteString batch = LedgerWriter.write(records).toByteString();
		return LedgerProtocol.LedgerEnvelope.newBuilder()
			.setVersion(Fields.PROTOCOL_VERSION)
			.setChecksum(checksum(Fields.PROTOCOL_VERSION, batch))
			.setBatch(batch)
			.build()
			.toByteArray();
	}

	/**
	 * Reads a batch.
	 * @param bytes the bytes of one log record
	 * @return the records in their order, or why there are none
	 */
	public static Either<CodecProblem, List<LedgerRecord>> decode(byte[] bytes) {
		return Fields.decode(() -> read(LedgerProtocol.LedgerEnvelope.parseFrom(bytes)));
	}

	private static List<LedgerRecord> read(LedgerProtocol.LedgerEnvelope envelope)
			throws InvalidProtocolBufferException {
		int version = Fields.version(envelope.getVersion());
		Fields.require(envelope.hasChecksum(), "checksum");
		Fields.require(envelope.hasBatch(), "batch");
		if (envelope.getChecksum() != checksum(version, envelope.getBatch())) {
			throw new InvalidMessageException(new CodecProblem.ChecksumMismatch());
		}
		return new LedgerReader(version).batch(LedgerProtocol.LedgerBatch.parseFrom(envelope.getBatch()));
	}

	private static int checksum(int version, ByteString batch) {
		CRC32C checksum = new CRC32C();
		checksum.update(ByteBuffer.allocate(Integer.BYTES).putInt(version).flip());
		checksum.update(batch.asReadOnlyByteBuffer());
		return (int) checksum.getValue();
	}

}
