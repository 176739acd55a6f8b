package io.lentilslip.wire.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.lentilslip.core.relay.LedgerEntry;
import io.lentilslip.core.relay.Member;
import io.lentilslip.core.relay.PromptPart;
import io.lentilslip.core.relay.RunId;
import io.lentilslip.core.relay.SoftwareVersion;
import io.lentilslip.core.relay.StoredTurn;
import io.lentilslip.core.relay.StreamAttempt;
import io.lentilslip.core.relay.TextLocation;
import io.lentilslip.core.relay.TurnLocation;
import io.lentilslip.core.relay.TurnText;
import io.lentilslip.core.relay.UpstreamLoad;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Decodes corrupted messages of links and records of the store. {@code bin/fuzz} runs it
 * longer and with other seeds.
 */
class RelayFuzzTests {

	private static final int INPUTS = Integer.getInteger("lentilslip.fuzz.inputs", 20_000);

	private static final long SEED = Long.getLong("lentilslip.fuzz.seed", 20273);

	private static final TextLocation LOCATION = new TextLocation(Optional.of("t0"), 900, 7, 1L << 33,
			Optional.of("10.0.0.1:7380"));

	private static final StreamAttempt ATTEMPT = new StreamAttempt(new SoftwareVersion("s", "v1.1"), 2);

	private static final LedgerEntry RESERVED = new LedgerEntry.Reserved(RunId.unnumbered("t1"), "p", 588, "e1@17",
			List.of(new PromptPart(0x5c1e07a2L, 800), new PromptPart(-3, 400)), true, Optional.of(ATTEMPT));

	private static final LedgerEntry.Settled SETTLED = new LedgerEntry.Settled(RunId.unnumbered("t1"), "p", 90,
			Optional.of(LOCATION));

	private static final StoredTurn TEXT = new StoredTurn(Optional.of("t0"), "in;".getBytes(), "out;".getBytes());

	// An exception on corrupted bytes would stop the reader of the log or close the link.
	// Any message that is decoded has to be encodable again.
	@Test
	void corruptedBytesDoNotThrow() {
		List<byte[]> valid = valid();
		Random random = new Random(SEED);
		for (int input = 0; input < INPUTS; input++) {
			byte[] corrupted = corrupt(valid.get(random.nextInt(valid.size())), random);
			RelayCodec.decodePeerMessage(corrupted)
				.peek((message) -> assertThat(RelayCodec.encode(message)).isNotNull());
			RelayCodec.decodeEntry(corrupted).entry().peek((entry) -> assertThat(RelayCodec.encode(entry)).isNotNull());
			RelayCodec.decodeText(corrupted).peek((text) -> assertThat(RelayCodec.encode(text)).isNotNull());
			RelayCodec.decodeEntry(corrupted)
				.timestamp()
				.ifPresent((time) -> assertThat(time.appendDelay().isNegative()).isFalse());
			assertThat(RelayCodec.decodeMember("10.0.0.1:7380", corrupted).weight()).isPositive();
		}
	}

	private static List<byte[]> valid() {
		List<byte[]> valid = new ArrayList<>();
		List.of(new PeerMessage.Greeting("10.0.0.1:7380"), new PeerMessage.Batch(List.of(RESERVED, SETTLED)),
				new PeerMessage.TurnWriteRequest(SETTLED, TEXT), new PeerMessage.TextsRequest(Set.of("t0", "t1")),
				new PeerMessage.Texts(List.of(new TurnText("t1", TEXT))), new PeerMessage.TurnWriteAck(Set.of("t1")),
				new PeerMessage.ReservationRequest(RunId.unnumbered("t1"), "p", 588, 1L << 40, false),
				new PeerMessage.Usage(RunId.unnumbered("t1"), 1200, 40, true, List.of(new UpstreamLoad(-7, 3, 250))),
				new PeerMessage.StreamVersionRequest("t1"),
				new PeerMessage.StreamVersion(RunId.unnumbered("t1"), ATTEMPT),
				new PeerMessage.UsageUnavailable(RunId.unnumbered("t1")), new PeerMessage.SyncRequest(),
				new PeerMessage.TextLocationsRequest("t1"),
				new PeerMessage.TextLocations(List.of(new TurnLocation("t1", LOCATION))),
				new PeerMessage.LogDecision(RunId.unnumbered("t1"), true), new PeerMessage.SyncComplete(),
				new PeerMessage.Heartbeat())
			.forEach((message) -> valid.add(RelayCodec.encode(message)));
		List.of(RESERVED, SETTLED, new LedgerEntry.UpstreamFailed("t1", -3, "e1@17"))
			.forEach((entry) -> valid.add(RelayCodec.encode(entry, 1_790_000_000_000L)));
		valid.add(RelayCodec.withAppendDelay(RelayCodec.encode(SETTLED, 1_790_000_000_000L), Duration.ofSeconds(4)));
		valid.add(RelayCodec.encode(new TurnText("t1", TEXT)));
		valid.add(RelayCodec.encode(new Member("10.0.0.1:7380", "zone-a", 27)));
		return valid;
	}

	private static byte[] corrupt(byte[] valid, Random random) {
		byte[] value = valid.clone();
		for (int change = random.nextInt(4); change >= 0 && value.length > 0; change--) {
			int index = random.nextInt(value.length);
			switch (random.nextInt(4)) {
				case 0 -> value[index] = (byte) random.nextInt(256);
				case 1 -> value[index] ^= (byte) (1 << random.nextInt(8));
				case 2 -> value = Arrays.copyOf(value, index);
				default -> {
					byte[] doubled = Arrays.copyOf(value, value.length + index);
					System.arraycopy(value, 0, doubled, value.length, index);
					value = doubled;
				}
			}
		}
		return value;
	}

}
