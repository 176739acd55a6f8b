package io.lentilslip.wire.codec;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.LedgerRecord;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LedgerCodecTests {

	private static final LedgerRecord CLAIM = new LedgerRecord.ProgramClaimed(
			new ProgramId(new GroupName("sellers-desk"), new ProgramName("draft-20260714-000123")), new Epoch(1),
			new ProcessId(new VmName("constanta-model-3"), new Incarnation(0x5eed_5eed_5eed_5eedL)), Optional.empty());

	@Property(seed = "20260714")
	void readsBackEveryBatch(@ForAll("batches") List<LedgerRecord> batch) {
		assertThat(LedgerCodec.decode(LedgerCodec.encode(batch)).get()).isEqualTo(batch);
	}

	@Property(seed = "20260714")
	void returnsAProblemOrABatchForAnyBytes(@ForAll byte[] bytes) {
		assertThat(LedgerCodec.decode(bytes)).isNotNull();
	}

	// The log returns a record whose end is missing. Read as a shorter batch, it would
	// make this process decide claims otherwise than its peers: a call could run twice.
	@Property(seed = "20260714")
	void refusesABatchCutShort(@ForAll("batches") List<LedgerRecord> batch, @ForAll int cut) {
		byte[] bytes = LedgerCodec.encode(batch);
		byte[] part = Arrays.copyOf(bytes, Math.floorMod(cut, bytes.length));
		assertThat(LedgerCodec.decode(part).isLeft()).isTrue();
	}

	// One bit of a record is flipped in the log or on the way. The batch is refused, or
	// the bit was in a place that carries no content and the batch is the same.
	@Property(seed = "20260714")
	void neverReadsAnotherBatchFromAFlippedBit(@ForAll("batches") List<LedgerRecord> batch, @ForAll int place) {
		byte[] bytes = LedgerCodec.encode(batch);
		int bit = Math.floorMod(place, bytes.length * Byte.SIZE);
		bytes[bit / Byte.SIZE] ^= (byte) (1 << (bit % Byte.SIZE));
		assertThat(LedgerCodec.decode(bytes).getOrElse(batch)).isEqualTo(batch);
	}

	@Test
	void refusesMoreRecordsThanAllowed() {
		byte[] bytes = LedgerCodec.encode(Collections.nCopies(LedgerReader.MAXIMUM_RECORDS + 1, CLAIM));
		assertThat(LedgerCodec.decode(bytes).getLeft()).isEqualTo(
				new CodecProblem.TooMany("records", LedgerReader.MAXIMUM_RECORDS + 1, LedgerReader.MAXIMUM_RECORDS));
	}

	// The capacity page counts on these sizes.
	@Test
	void keepsClaimsSmall() {
		assertThat(LedgerCodec.encode(List.of(CLAIM))).hasSize(84);
		assertThat(LedgerCodec.encode(Collections.nCopies(100, CLAIM))).hasSize(7_510);
	}

	@Provide
	Arbitrary<List<LedgerRecord>> batches() {
		return ArbitraryValues.ledgerRecords().list().ofMaxSize(5);
	}

}
