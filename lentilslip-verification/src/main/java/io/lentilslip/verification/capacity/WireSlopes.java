package io.lentilslip.verification.capacity;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.call.ProgramCall;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.ExecutionAuthority;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.settings.folder.ConfigurationReader;
import io.lentilslip.wire.codec.LedgerCodec;
import io.lentilslip.wire.codec.LinkCodec;

/**
 * Measures the bytes of messages and records and what writing and reading them costs.
 * Bytes are those of the codec, without the four that frame a link message and without
 * those of TCP. Stateless and safe for use by several threads.
 */
final class WireSlopes {

	private static final AttemptId ATTEMPT = new AttemptId(SampleSite.ENTRY.incarnation(), 1_000_000);

	private static final int ANSWER = 1564;

	private WireSlopes() {
	}

	static void measure(Meter meter) {
		measureLinkBytes(meter);
		measureLedgerBytes(meter);
		meter.count("configuration-bytes-by-groups", (size) -> SampleSite.configurationText(size, 1).length(), 10, 100,
				500, 1500);
		meter.count("configuration-bytes-by-upstreams", (size) -> SampleSite.configurationText(1, size).length(), 10,
				100, 400, 1700);
		meter.time("configuration-reading-by-groups", (size) -> () -> read(size, 1), 10, 500, 1500);
		meter.time("configuration-reading-by-upstreams", (size) -> () -> read(1, size), 10, 400, 1700);
		codec(meter, "codec-heartbeat-by-messages", new LinkMessage.Heartbeat());
		codec(meter, "codec-load-report-by-messages", report(0));
		codec(meter, "codec-delta-by-messages", new LinkMessage.Delta(ATTEMPT, 100, "word"));
		codec(meter, "codec-dispatch-of-4096-bytes-by-messages", dispatch(4096));
		codec(meter, "codec-finished-by-messages", finished(ANSWER));
	}

	private static void read(int groups, int upstreams) {
		ConfigurationReader.read(SampleSite.source(groups, upstreams)).get();
	}

	private static void measureLinkBytes(Meter meter) {
		link(meter, "wire-hello-by-messages", (size) -> new LinkMessage.Hello(SampleSite.ENTRY, SampleSite.ZONE, 2100));
		link(meter, "wire-heartbeat-by-messages", (size) -> new LinkMessage.Heartbeat());
		link(meter, "wire-accepted-by-messages", (size) -> new LinkMessage.Accepted(ATTEMPT));
		link(meter, "wire-started-by-messages", (size) -> new LinkMessage.Started(ATTEMPT, Duration.ofMillis(20)));
		meter.count("wire-load-report-by-prefixes", (size) -> length(report(size)), 0, 1, 16, 64);
		meter.count("wire-dispatch-by-message-bytes", (size) -> length(dispatch(size)), 100, 1000, 4096, 16_384);
		meter.count("wire-delta-by-text-bytes",
				(size) -> length(new LinkMessage.Delta(ATTEMPT, 100, SampleSite.text(1, size))), 1, 4, 20, 100);
		meter.count("wire-finished-by-answer-bytes", (size) -> length(finished(size)), 100, 1564, 8000);
	}

	private static void link(Meter meter, String quantity, IntFunction<LinkMessage> message) {
		meter.count(quantity, (size) -> IntStream.range(0, size).mapToObj(message).mapToInt(WireSlopes::length).sum(),
				1, 10, 100);
	}

	private static int length(LinkMessage message) {
		return LinkCodec.encode(message).length;
	}

	private static LinkMessage.LoadReport report(int prefixes) {
		List<Digest> digests = IntStream.range(0, prefixes)
			.mapToObj((number) -> Digest.of("prefix " + number))
			.toList();
		return new LinkMessage.LoadReport(12, 88, 128, 3_500_000, digests);
	}

	private static LinkMessage.Dispatch dispatch(int messageBytes) {
		ProgramId program = SampleSite.program(7, 7);
		CallRequest.ForModel call = new CallRequest.ForModel(program.group(),
				Optional.of(new ProgramCall(program, Optional.empty(), Optional.of(260))), Optional.empty(),
				Digest.of("call"), SampleSite.MODEL, HistoryMode.NEW, List.of(SampleSite.text(1, messageBytes)), 512,
				"{}", true);
		return new LinkMessage.Dispatch(ATTEMPT, call,
				new ExecutionAuthority.ForHome(SampleSite.sidecar(7), Epoch.NONE.next(), 1_000_000),
				Duration.ofMinutes(2), "");
	}

	private static LinkMessage.Finished finished(int answerBytes) {
		return new LinkMessage.Finished(ATTEMPT,
				new CallOutcome.Completed(SampleSite.answer(1, answerBytes), Durability.COMMITTED, 260));
	}

	private static void measureLedgerBytes(Meter meter) {
		ledger(meter, "wire-program-claimed-by-records", SampleSite::claim);
		ledger(meter, "wire-call-claimed-by-records", LedgerSlopes::callClaim);
		ledger(meter, "wire-call-settled-by-records", LedgerSlopes::settlement);
		ledger(meter, "wire-slice-reserved-by-records", LedgerSlopes::slice);
		ledger(meter, "wire-turn-without-answer-by-records", (number) -> SampleSite.turn(number, 260, 0));
		meter.count("wire-turn-by-answer-bytes",
				(size) -> LedgerCodec.encode(List.of(SampleSite.turn(1, 260, size))).length, 100, 1564, 8000);
	}

	private static void ledger(Meter meter, String quantity, IntFunction<? extends LedgerRecord> record) {
		meter.count(quantity,
				(size) -> LedgerCodec.encode(IntStream.range(0, size).<LedgerRecord>mapToObj(record).toList()).length,
				1, 10, 100);
	}

	private static void codec(Meter meter, String quantity, LinkMessage message) {
		meter.time(quantity, (size) -> () -> writeAndRead(message, size), 1000, 4000, 16_000);
	}

	private static void writeAndRead(LinkMessage message, int count) {
		for (int number = 0; number < count; number++) {
			LinkMessage read = LinkCodec.decode(LinkCodec.encode(message)).get();
			if (read.getClass() != message.getClass()) {
				throw new IllegalStateException("another message was read: " + read);
			}
		}
	}

}
