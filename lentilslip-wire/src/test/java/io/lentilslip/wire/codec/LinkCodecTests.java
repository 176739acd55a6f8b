package io.lentilslip.wire.codec;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.wire.generated.CallProtocol;
import io.lentilslip.wire.generated.LinkProtocol;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LinkCodecTests {

	private static final AttemptId ATTEMPT = new AttemptId(new Incarnation(0x5eed_5eed_5eed_5eedL), 1_000_000);

	private static final int UNKNOWN_FIELD = 999;

	@Property(seed = "20260714")
	void readsBackEveryMessage(@ForAll("messages") LinkMessage message) {
		assertThat(LinkCodec.decode(LinkCodec.encode(message)).get()).isEqualTo(message);
	}

	@Property(seed = "20260714")
	void returnsAProblemOrAMessageForAnyBytes(@ForAll byte[] bytes) {
		assertThat(LinkCodec.decode(bytes)).isNotNull();
	}

	// A frame that lost its end arrives as a frame of its own. Whatever is left of it is
	// read or refused, and nothing is thrown on the event loop, which serves other links.
	@Property(seed = "20260714")
	void throwsNothingForAMessageCutShort(@ForAll("messages") LinkMessage message, @ForAll int cut) {
		byte[] bytes = LinkCodec.encode(message);
		byte[] part = Arrays.copyOf(bytes, Math.floorMod(cut, bytes.length));
		assertThat(LinkCodec.decode(part)).isNotNull();
	}

	// A newer program adds a field while older ones still run. They read the message as
	// if the field was not there.
	@Test
	void ignoresAnUnknownField() {
		LinkProtocol.LinkEnvelope envelope = LinkProtocol.LinkEnvelope.newBuilder()
			.setVersion(2)
			.setHeartbeat(LinkProtocol.Heartbeat.getDefaultInstance())
			.setUnknownFields(unknownField())
			.build();
		assertThat(LinkCodec.decode(envelope.toByteArray()).get()).isEqualTo(new LinkMessage.Heartbeat());
	}

	// A newer program sends a message of a new kind to an older one, which names the
	// version, so that an operator sees why it is passed over.
	@Test
	void reportsAnUnknownKindWithTheVersionOfItsSender() {
		LinkProtocol.LinkEnvelope envelope = LinkProtocol.LinkEnvelope.newBuilder()
			.setVersion(2)
			.setUnknownFields(unknownField())
			.build();
		assertThat(problem(envelope)).isEqualTo(new CodecProblem.UnknownKind("message", 2));
	}

	@Test
	void reportsBytesInAnotherForm() {
		assertThat(LinkCodec.decode("GET / HTTP/1.1\r\n".getBytes(StandardCharsets.US_ASCII)).getLeft())
			.isEqualTo(new CodecProblem.Malformed());
	}

	@Test
	void reportsAMissingVersion() {
		assertThat(LinkCodec.decode(new byte[0]).getLeft()).isEqualTo(new CodecProblem.MissingField("version"));
	}

	@Test
	void reportsAMissingAttempt() {
		assertThat(problem(envelope().setCancel(LinkProtocol.Cancel.getDefaultInstance()).build()))
			.isEqualTo(new CodecProblem.MissingField("attempt"));
	}

	@Test
	void reportsANegativeNumber() {
		LinkProtocol.LoadReport report = LinkProtocol.LoadReport.newBuilder().setQueued(-1).build();
		assertThat(problem(envelope().setLoadReport(report).build()))
			.isEqualTo(new CodecProblem.InvalidField("queued", "a number from 0 to " + Integer.MAX_VALUE));
	}

	@Test
	void reportsANameThatIsNotAllowed() {
		LinkProtocol.AskProgram question = LinkProtocol.AskProgram.newBuilder()
			.setAttempt(LinkProtocol.AttemptId.newBuilder().setEntry(1))
			.setProgram(CallProtocol.ProgramId.newBuilder().setGroup("sellers").setName("a program"))
			.build();
		assertThat(problem(envelope().setAskProgram(question).build()))
			.isEqualTo(new CodecProblem.InvalidField("program", "an allowed name"));
	}

	// A newer program gives a verdict that this version has no constant for. The message
	// is
	// passed over like one of an unknown kind; taken for a fault, it would end every link
	// between the two versions.
	@Test
	void reportsAConstantThatIsNotKnownAsAnUnknownKind() {
		assertThat(problem(finished(failure().setVerdictValue(UNKNOWN_FIELD))))
			.isEqualTo(new CodecProblem.UnknownKind("verdict", Fields.PROTOCOL_VERSION));
	}

	@Test
	void reportsAConstantThatIsNotSet() {
		assertThat(problem(finished(failure()))).isEqualTo(new CodecProblem.MissingField("verdict"));
	}

	@Test
	void reportsAListThatIsTooLong() {
		int size = LinkReader.MAXIMUM_WARM_PREFIXES + 1;
		List<Digest> prefixes = Collections.nCopies(size, Digest.EMPTY);
		byte[] bytes = LinkCodec.encode(new LinkMessage.LoadReport(0, 0, 0, 0, prefixes));
		assertThat(LinkCodec.decode(bytes).getLeft())
			.isEqualTo(new CodecProblem.TooMany("warm_prefixes", size, LinkReader.MAXIMUM_WARM_PREFIXES));
	}

	@Test
	void writesATimeAfterTheDeadlineAsZero() {
		byte[] bytes = LinkCodec.encode(new LinkMessage.Started(ATTEMPT, Duration.ofMillis(-1)));
		assertThat(LinkCodec.decode(bytes).get()).isEqualTo(new LinkMessage.Started(ATTEMPT, Duration.ZERO));
	}

	// The capacity page counts on these sizes.
	@Test
	void keepsFrequentMessagesSmall() {
		assertThat(LinkCodec.encode(new LinkMessage.Heartbeat())).hasSize(4);
		assertThat(LinkCodec.encode(new LinkMessage.LoadReport(12, 32, 48, 900_000, List.of()))).hasSize(14);
		assertThat(LinkCodec.encode(new LinkMessage.LoadReport(12, 32, 48, 900_000, List.of(Digest.EMPTY))))
			.hasSize(48);
		assertThat(LinkCodec.encode(new LinkMessage.Delta(ATTEMPT, 500, "boats"))).hasSize(29);
	}

	@Provide
	Arbitrary<LinkMessage> messages() {
		return ArbitraryValues.linkMessages();
	}

	private static LinkProtocol.LinkEnvelope.Builder envelope() {
		return LinkProtocol.LinkEnvelope.newBuilder().setVersion(Fields.PROTOCOL_VERSION);
	}

	private static CallProtocol.Failure.Builder failure() {
		return CallProtocol.Failure.newBuilder().setCause(CallProtocol.FailureCause.FAILURE_CAUSE_INTERNAL);
	}

	private static LinkProtocol.LinkEnvelope finished(CallProtocol.Failure.Builder failure) {
		LinkProtocol.Finished finished = LinkProtocol.Finished.newBuilder()
			.setAttempt(LinkProtocol.AttemptId.newBuilder().setEntry(1))
			.setOutcome(CallProtocol.Outcome.newBuilder().setFailed(failure))
			.build();
		return envelope().setFinished(finished).build();
	}

	private static CodecProblem problem(LinkProtocol.LinkEnvelope envelope) {
		return LinkCodec.decode(envelope.toByteArray()).getLeft();
	}

	private static UnknownFieldSet unknownField() {
		UnknownFieldSet.Field field = UnknownFieldSet.Field.newBuilder()
			.addLengthDelimited(ByteString.copyFromUtf8("later"))
			.build();
		return UnknownFieldSet.newBuilder().addField(UNKNOWN_FIELD, field).build();
	}

}
