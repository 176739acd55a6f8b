package io.lentilslip.verification.capacity;

import java.time.Duration;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.IdempotencyKey;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.ledger.Ledger;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.Position;
import io.lentilslip.wire.codec.LedgerCodec;

/**
 * Measures what a ledger holds and what reading one more record costs. All records go
 * through the bytes of the log, since a process that reads them shares no names between
 * them. Stateless and safe for use by several threads.
 */
final class LedgerSlopes {

	private static final int BATCH = 100;

	private static final int ANSWER = 1564;

	private static final int ENTRIES = 380;

	private LedgerSlopes() {
	}

	static void measure(Meter meter) {
		meter.heap("ledger-heap-by-programs", (size) -> reading(size, SampleSite::claim), 1000, 5000, 20_000, 60_000);
		meter.heap("ledger-heap-by-open-claims", (size) -> reading(size, LedgerSlopes::callClaim), 1000, 5000, 20_000);
		meter.heap("ledger-heap-by-settled-claims", LedgerSlopes::settled, 500, 2000, 8000);
		meter.heap("ledger-heap-by-slices", (size) -> reading(size, LedgerSlopes::slice), 1000, 5000, 20_000);
		meter.time("ledger-record-with-text-by-records", (size) -> readTurns(KnownPrograms.COUNT, size), 500, 2000,
				8000);
		meter.time("ledger-claim-by-records", LedgerSlopes::readClaims, 500, 2000, 8000);
	}

	private static Ledger reading(int size, IntFunction<? extends LedgerRecord> record) {
		Ledger ledger = Ledger.withRetention(Ledger.RETENTION);
		for (int from = 0; from < size; from += BATCH) {
			ledger = read(ledger, from, bytes(from, Math.min(from + BATCH, size), record));
		}
		return ledger;
	}

	private static byte[] bytes(int from, int to, IntFunction<? extends LedgerRecord> record) {
		return LedgerCodec.encode(IntStream.range(from, to).<LedgerRecord>mapToObj(record).toList());
	}

	private static Ledger read(Ledger ledger, int offset, byte[] bytes) {
		Ledger current = ledger;
		List<LedgerRecord> records = LedgerCodec.decode(bytes).get();
		for (int index = 0; index < records.size(); index++) {
			Ledger.ApplyResult reading = current.apply(new Position(offset, index), SampleSite.START,
					records.get(index));
			current = reading.ledger();
		}
		return current;
	}

	static LedgerRecord.CallClaimed callClaim(int number) {
		return new LedgerRecord.CallClaimed(key(number), Digest.of("call " + number),
				SampleSite.sidecar(number % SampleSite.ZONES));
	}

	private static CallKey key(int number) {
		return new CallKey.ForIdempotencyKey(SampleSite.group(number),
				new IdempotencyKey("key-%032d".formatted(number)));
	}

	static LedgerRecord.CallSettled settlement(int number) {
		return new LedgerRecord.CallSettled(key(number), SampleSite.sidecar(number % SampleSite.ZONES),
				new CallOutcome.Completed(SampleSite.answer(number, ANSWER), Durability.COMMITTED, 0));
	}

	// The first slice of each pair of a group and an entry.
	static LedgerRecord.SliceReserved slice(int number) {
		int entry = number % ENTRIES;
		return new LedgerRecord.SliceReserved(SampleSite.group(number / ENTRIES), 10, 40_000_000, Duration.ofHours(1),
				1, new ProcessId(new VmName("entry-%011d".formatted(entry)), new Incarnation(1 + entry)), 1);
	}

	private static Ledger settled(int size) {
		Ledger ledger = reading(size, LedgerSlopes::callClaim);
		for (int from = 0; from < size; from += BATCH) {
			ledger = read(ledger, size + from, bytes(from, Math.min(from + BATCH, size), LedgerSlopes::settlement));
		}
		return ledger;
	}

	// One turn each of as many programs, in batches of the size that relays would make.
	private static Runnable readTurns(int programs, int records) {
		Ledger ledger = KnownPrograms.LEDGER;
		List<byte[]> batches = IntStream.range(0, records / BATCH)
			.mapToObj((batch) -> bytes(batch * BATCH, (batch + 1) * BATCH,
					(number) -> SampleSite.turn(number % programs, 1, ANSWER)))
			.toList();
		return () -> readAll(ledger, batches);
	}

	private static Runnable readClaims(int records) {
		Ledger ledger = KnownPrograms.LEDGER;
		List<byte[]> batches = IntStream.range(0, records / BATCH)
			.mapToObj((batch) -> bytes(batch * BATCH, (batch + 1) * BATCH,
					(number) -> SampleSite.claim(KnownPrograms.COUNT + number)))
			.toList();
		return () -> readAll(ledger, batches);
	}

	private static void readAll(Ledger ledger, List<byte[]> batches) {
		Ledger current = ledger;
		for (int offset = 0; offset < batches.size(); offset++) {
			current = read(current, 1_000_000 + offset, batches.get(offset));
		}
		if (current.programCount() < KnownPrograms.COUNT) {
			throw new IllegalStateException("programs were lost");
		}
	}

	/**
	 * A ledger of many programs, made once when it is first needed.
	 */
	private static final class KnownPrograms {

		private static final int COUNT = 60_000;

		private static final Ledger LEDGER = reading(COUNT, SampleSite::claim);

		private KnownPrograms() {
		}

	}

}
