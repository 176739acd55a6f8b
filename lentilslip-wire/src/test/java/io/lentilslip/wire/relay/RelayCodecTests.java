package io.lentilslip.wire.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;
import io.lentilslip.core.quota.Quota;
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
import io.lentilslip.core.relay.TurnTokens;
import io.lentilslip.core.relay.UpstreamLoad;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RelayCodecTests {

	@Property(tries = 200)
	void reservationsRoundTrip(@ForAll int tokens, @ForAll long part, @ForAll boolean conditional,
			@ForAll @LongRange(min = 0) long run) {
		LedgerEntry entry = new LedgerEntry.Reserved(new RunId("r", run), "p", tokens, conditional ? "" : "u",
				List.of(new PromptPart(part, 7)), conditional,
				conditional ? Optional.empty() : Optional.of(new StreamAttempt(new SoftwareVersion("s", "v1"), 1)));
		assertThat(RelayCodec.decodeEntry(RelayCodec.encode(entry)).entry().get()).isEqualTo(entry);
	}

	@Property(tries = 200)
	void settlementsRoundTrip(@ForAll int bytes, @ForAll int part, @ForAll long from, @ForAll boolean first,
			@ForAll @IntRange(min = 0) int retention, @ForAll boolean renewed, @ForAll @LongRange(min = 0) long run) {
		Optional<String> previous = first ? Optional.empty() : Optional.of("before");
		LedgerEntry entry = new LedgerEntry.Settled(new RunId("r", run), "p", 9, Optional.of(new TextLocation(previous,
				bytes, part, from, Optional.of("origin"), Duration.ofMillis(retention), renewed)));
		assertThat(RelayCodec.decodeEntry(RelayCodec.encode(entry)).entry().get()).isEqualTo(entry);
	}

	@Property(tries = 200)
	void renewedUsageRoundTrips(@ForAll @IntRange(min = 0) int tokens, @ForAll boolean open,
			@ForAll @IntRange(min = 0) int retention, @ForAll @LongRange(min = 0) long run) {
		LedgerEntry entry = new LedgerEntry.UsageRenewed("p", Map.of(new RunId("r", run), new TurnTokens(tokens, open)),
				Duration.ofMillis(retention));
		assertThat(RelayCodec.decodeEntry(RelayCodec.encode(entry)).entry().get()).isEqualTo(entry);
	}

	@Property(tries = 200)
	void textsRoundTrip(@ForAll byte[] input, @ForAll byte[] output, @ForAll boolean first) {
		Optional<String> previous = first ? Optional.empty() : Optional.of("before");
		TurnText turn = new TurnText(new RunId("r", 1L << 40), new StoredTurn(previous, input, output));
		assertThat(RelayCodec.decodeText(RelayCodec.encode(turn)).get()).usingRecursiveComparison().isEqualTo(turn);
		PeerMessage request = new PeerMessage.TurnWriteRequest(
				new LedgerEntry.Settled(RunId.unnumbered("r"), "p", 9, Optional.empty()), turn.text());
		for (PeerMessage message : List.of(new PeerMessage.Texts(List.of(turn)), request)) {
			assertThat(RelayCodec.decodePeerMessage(RelayCodec.encode(message)).get()).usingRecursiveComparison()
				.isEqualTo(message);
		}
	}

	// Guards against links that are closed because a failure is taken back.
	@Test
	void failureThatIsTakenBackRoundTrips() {
		LedgerEntry entry = LedgerEntry.UpstreamFailed.takenBack(-3, "u");
		assertThat(RelayCodec.decodeEntry(RelayCodec.encode(entry)).entry()).containsExactly(entry);
		PeerMessage batch = new PeerMessage.Batch(List.of(entry));
		assertThat(RelayCodec.decodePeerMessage(RelayCodec.encode(batch))).containsExactly(batch);
	}

	@Property(tries = 500)
	void malformedBytesDoNotThrow(@ForAll byte[] bytes) {
		assertThat(RelayCodec.decodeEntry(bytes).entry()).isNotNull();
		assertThat(RelayCodec.decodePeerMessage(bytes)).isNotNull();
		assertThat(RelayCodec.decodeText(bytes)).isNotNull();
	}

	@Property(tries = 200)
	void permitsRoundTrip(@ForAll long number, @ForAll int program,
			@ForAll @IntRange(min = 0, max = 10_000) int permits, @ForAll boolean admitted) {
		PeerMessage request = new PeerMessage.PermitsRequest(new PermitRequest("red", number, new Quota(1.5, 3),
				permits, 2, 1, List.of(program), List.of(program, 7)));
		PeerMessage reply = new PeerMessage.PermitsGranted(
				new PermitReply("red", number, permits, List.of(admitted, true), Duration.ofMillis(250)));
		for (PeerMessage message : List.of(request, reply)) {
			assertThat(RelayCodec.decodePeerMessage(RelayCodec.encode(message)).get()).isEqualTo(message);
		}
	}

	@Test
	void entryTimestampRoundTrips() {
		LedgerEntry entry = new LedgerEntry.UpstreamFailed("r", 3, "u");
		byte[] bytes = RelayCodec.encode(entry, 1_790_000_000_000L);
		assertThat(RelayCodec.decodeEntry(bytes).timestamp())
			.contains(new EntryTimestamp(1_790_000_000_000L, Duration.ZERO));
		assertThat(RelayCodec.decodeEntry(bytes).entry().get()).isEqualTo(entry);
		byte[] delayed = RelayCodec.withAppendDelay(bytes, Duration.ofMillis(5_003));
		assertThat(RelayCodec.decodeEntry(delayed).timestamp().map(EntryTimestamp::appendedAt))
			.contains(1_790_000_005_003L);
		assertThat(RelayCodec.decodeEntry(delayed).entry().get()).isEqualTo(entry);
		assertThat(RelayCodec.decodeEntry(RelayCodec.encode(entry)).timestamp()).isEmpty();
		assertThat(RelayCodec.decodeEntry(new byte[] { 1 }).timestamp()).isEmpty();
	}

	@Test
	void memberRoundTrips() {
		Member member = new Member("10.0.0.1:7", "zone-b", 27);
		assertThat(RelayCodec.decodeMember(member.address(), RelayCodec.encode(member))).isEqualTo(member);
	}

	// Earlier versions wrote a single byte, and other writers may write anything. Such
	// records have to yield the defaults.
	@Property(tries = 200)
	void malformedMemberRecordYieldsDefaults(@ForAll byte[] bytes) {
		assertThat(RelayCodec.decodeMember("10.0.0.1:7", new byte[] { 1 })).isEqualTo(Member.of("10.0.0.1:7"));
		assertThat(RelayCodec.decodeMember("10.0.0.1:7", bytes).weight()).isPositive();
	}

	@Test
	void emptyBytesAreRejected() {
		assertThat(RelayCodec.decodeEntry(new byte[0]).entry().isLeft()).isTrue();
		assertThat(RelayCodec.decodePeerMessage(new byte[0]).isLeft()).isTrue();
	}

	// During a rolling upgrade a link has to survive message types of the newer version.
	@Test
	void messageOfANewerVersionIsIgnored() {
		byte[] newer = { (byte) 0xfa, 0x07, 0x01, 0x00 };
		assertThat(RelayCodec.decodePeerMessage(newer).get()).isEqualTo(new PeerMessage.Unknown());
	}

	@Test
	void linkMessagesRoundTrip() {
		List<PeerMessage> messages = List.of(new PeerMessage.Greeting("10.0.0.1:7"),
				new PeerMessage.Batch(List.of(new LedgerEntry.UpstreamFailed("r", -3, "u"),
						new LedgerEntry.UpstreamFailed(new RunId("r", 1L << 40), -3, "u"))),
				new PeerMessage.TextsRequest(Set.of("a", "b")),
				new PeerMessage.TurnWriteAck(Set.of(new RunId("a", 1L << 40), RunId.unnumbered("b"))),
				new PeerMessage.Heartbeat(),
				new PeerMessage.ReservationRequest(new RunId("r", 1L << 40), "p", 588, 1L << 41, true),
				new PeerMessage.Usage(
						new RunId("r", 1L << 40), 1L << 40, 40, true, List.of(new UpstreamLoad(-7, 3, 250))),
				new PeerMessage.StreamVersionRequest("r"),
				new PeerMessage.StreamVersion(new RunId("r", 1L << 40),
						new StreamAttempt(new SoftwareVersion("s", "v1.1"), 2)),
				new PeerMessage.UsageUnavailable(new RunId("r", 1L << 40)), new PeerMessage.SyncRequest(),
				new PeerMessage.TextLocationsRequest("t"),
				new PeerMessage.TextLocations(List.of(new TurnLocation(new RunId("t", 1L << 40),
						new TextLocation(Optional.of("s"), 9, 5, 1L << 40, Optional.of("10.0.0.1:7"))))),
				new PeerMessage.LogDecision(new RunId("r", 1L << 40), true), new PeerMessage.SyncComplete());
		for (PeerMessage message : messages) {
			assertThat(RelayCodec.decodePeerMessage(RelayCodec.encode(message)).get()).isEqualTo(message);
		}
	}

}
