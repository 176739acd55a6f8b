package io.lentilslip.wire.codec;

import java.time.Duration;
import java.util.List;
import java.util.UUID;

import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Durability;
import io.lentilslip.core.call.FailureCause;
import io.lentilslip.core.call.Header;
import io.lentilslip.core.call.HistoryMode;
import io.lentilslip.core.call.ProgramCall;
import io.lentilslip.core.call.ServiceRequest;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.configuration.ConfigurationFile;
import io.lentilslip.core.configuration.ConfigurationSource;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.IdempotencyKey;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.ServiceName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.ledger.CallKey;
import io.lentilslip.core.ledger.EndReason;
import io.lentilslip.core.ledger.Epoch;
import io.lentilslip.core.ledger.LedgerRecord;
import io.lentilslip.core.ledger.Position;
import io.lentilslip.core.ledger.Turn;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.ExecutionAuthority;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.core.verdict.Verdict;
import io.lentilslip.wire.configuration.PublishedConfiguration;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/**
 * Arbitrary values of everything that the codecs write.
 */
final class ArbitraryValues {

	private static final int MOST_ITEMS = 3;

	private ArbitraryValues() {
	}

	static Arbitrary<LinkMessage> linkMessages() {
		Arbitrary<LinkMessage> hello = Combinators
			.combine(processes(), names().map(ZoneName::new), Arbitraries.longs().greaterOrEqual(-1))
			.as(LinkMessage.Hello::new);
		Arbitrary<LinkMessage> offer = Combinators.combine(longs(), bodies()).as(LinkMessage.ConfigurationOffer::new);
		Arbitrary<LinkMessage> dispatch = Combinators.combine(attempts(), calls(), standings(), durations(), texts())
			.as(LinkMessage.Dispatch::new);
		Arbitrary<LinkMessage> askProgram = Combinators.combine(attempts(), programs())
			.as(LinkMessage.ProgramRequest::new);
		Arbitrary<LinkMessage> started = Combinators.combine(attempts(), durations()).as(LinkMessage.Started::new);
		Arbitrary<LinkMessage> delta = Combinators.combine(attempts(), counts(), texts()).as(LinkMessage.Delta::new);
		Arbitrary<LinkMessage> finished = Combinators.combine(attempts(), outcomes()).as(LinkMessage.Finished::new);
		Arbitrary<LinkMessage> answer = Combinators.combine(attempts(), views().optional())
			.as(LinkMessage.ProgramResponse::new);
		Arbitrary<LinkMessage> report = Combinators
			.combine(counts(), counts(), counts(), longs(), digests().list().ofMaxSize(MOST_ITEMS))
			.as(LinkMessage.LoadReport::new);
		return Arbitraries.oneOf(List.of(hello, Arbitraries.just(new LinkMessage.Heartbeat()), offer, dispatch,
				attempts().map(LinkMessage.Cancel::new), askProgram, attempts().map(LinkMessage.Accepted::new), started,
				delta, finished, answer, report, Arbitraries.just(new LinkMessage.Draining())));
	}

	static Arbitrary<LedgerRecord> ledgerRecords() {
		Arbitrary<LedgerRecord> programClaimed = Combinators
			.combine(programs(), epochs(), processes(), programs().optional())
			.as(LedgerRecord.ProgramClaimed::new);
		Arbitrary<Position> positions = Combinators.combine(longs(), counts()).as(Position::new);
		Arbitrary<LedgerRecord> turnCommitted = Combinators.combine(programs(), epochs(), turns(), positions.optional())
			.as(LedgerRecord.TurnCommitted::new);
		Arbitrary<LedgerRecord> programEnded = Combinators.combine(programs(), Arbitraries.of(EndReason.class))
			.as(LedgerRecord.ProgramEnded::new);
		Arbitrary<LedgerRecord> callClaimed = Combinators.combine(callKeys(), digests(), processes())
			.as(LedgerRecord.CallClaimed::new);
		Arbitrary<LedgerRecord> callSettled = Combinators.combine(callKeys(), processes(), outcomes())
			.as(LedgerRecord.CallSettled::new);
		Arbitrary<LedgerRecord> requestBlamed = Combinators.combine(digests(), processes(), Arbitraries.of(true, false))
			.as(LedgerRecord.UpstreamCrashed::new);
		Arbitrary<LedgerRecord> requestCleared = Combinators.combine(digests(), processes())
			.as(LedgerRecord.CrashesCleared::new);
		return Arbitraries.oneOf(List.of(programClaimed, turnCommitted, programEnded, callClaimed, callSettled,
				requestBlamed, requestCleared, slicesReserved(), slicesReturned()));
	}

	private static Arbitrary<LedgerRecord> slicesReserved() {
		Arbitrary<Long> tokens = Arbitraries.longs().greaterOrEqual(1);
		Arbitrary<Duration> periods = Arbitraries.longs()
			.greaterOrEqual(LedgerRecord.SliceReserved.MIN_PERIOD.toNanos())
			.map(Duration::ofNanos);
		return Combinators.combine(groups(), tokens, longs(), periods, Arbitraries.longs(), processes(), longs())
			.as(LedgerRecord.SliceReserved::new);
	}

	private static Arbitrary<LedgerRecord> slicesReturned() {
		return Combinators
			.combine(groups(), Arbitraries.longs(), Arbitraries.longs().greaterOrEqual(1), processes(), longs())
			.as(LedgerRecord.SliceReturned::new);
	}

	static Arbitrary<PublishedConfiguration> configurations() {
		Arbitrary<UUID> publicationIds = Combinators.combine(Arbitraries.longs(), Arbitraries.longs()).as(UUID::new);
		Arbitrary<ConfigurationFile> files = Combinators.combine(names(), byteArrays()).as(ConfigurationFile::new);
		Arbitrary<ConfigurationSource> sources = files.list()
			.ofMaxSize(MOST_ITEMS)
			.uniqueElements(ConfigurationFile::name)
			.map(ConfigurationSource::new);
		return Combinators.combine(Arbitraries.longs().greaterOrEqual(-1), publicationIds, sources)
			.as(PublishedConfiguration::new);
	}

	static Arbitrary<byte[]> byteArrays() {
		return Arbitraries.bytes().array(byte[].class).ofMaxSize(64);
	}

	private static Arbitrary<CallRequest> calls() {
		Arbitrary<CallRequest> forModel = Combinators
			.combine(groups(), places().optional(), keys().optional(), digests(), names().map(ModelName::new),
					Arbitraries.of(HistoryMode.class), messages(), counts())
			.as((group, place, key, content, model, mode, messages, tokens) -> new CallRequest.ForModel(group, place,
					key, content, model, mode, messages, tokens, "{\"tokens\":" + tokens + "}", tokens % 2 == 0));
		Arbitrary<ServiceRequest> requests = Combinators
			.combine(Arbitraries.of("GET", "POST"), texts().map((text) -> "/" + text), headers(), bodies())
			.as(ServiceRequest::new);
		Arbitrary<CallRequest> forService = Combinators
			.combine(groups(), places().optional(), keys().optional(), digests(), names().map(ServiceName::new),
					requests, Arbitraries.of(true, false))
			.as(CallRequest.ForService::new);
		return Arbitraries.oneOf(forModel, forService);
	}

	private static Arbitrary<ProgramCall> places() {
		return Combinators
			.combine(programs(), programs().optional(), Arbitraries.integers().greaterOrEqual(1).optional())
			.filter((program, parent, number) -> parent.filter(program::equals).isEmpty())
			.as(ProgramCall::new);
	}

	private static Arbitrary<CallOutcome> outcomes() {
		Arbitrary<CallOutcome> answered = Combinators.combine(answers(), Arbitraries.of(Durability.class), counts())
			.as(CallOutcome.Completed::new);
		Arbitrary<CallOutcome> failed = Combinators
			.combine(Arbitraries.of(Verdict.class), Arbitraries.of(FailureCause.class), texts(), durations().optional())
			.as((verdict, cause, message,
					delay) -> new CallOutcome.Failed(new CallFailure(verdict, cause, message, delay)));
		return Arbitraries.oneOf(answered, failed);
	}

	private static Arbitrary<CallResponse> answers() {
		Arbitrary<CallResponse> fromService = Combinators.combine(counts(), headers(), bodies())
			.as(CallResponse.FromService::new);
		return Arbitraries.oneOf(List.of(modelAnswers().map(CallResponse.class::cast), fromService));
	}

	private static Arbitrary<CallResponse.FromModel> modelAnswers() {
		Arbitrary<Usage> usages = Combinators.combine(counts(), counts(), counts()).as(Usage::new);
		return Combinators.combine(texts(), texts(), usages).as(CallResponse.FromModel::new);
	}

	private static Arbitrary<Turn> turns() {
		return Combinators
			.combine(Arbitraries.integers().greaterOrEqual(1), digests(), keys().optional(), messages(), modelAnswers())
			.as(Turn::new);
	}

	private static Arbitrary<LinkMessage.ProgramView> views() {
		return Combinators
			.combine(programs(), epochs(), counts(), counts(), Arbitraries.of(EndReason.class).optional(), messages())
			.as(LinkMessage.ProgramView::new);
	}

	private static Arbitrary<ExecutionAuthority> standings() {
		Arbitrary<ExecutionAuthority> forHome = Combinators.combine(processes(), epochs(), longs())
			.as(ExecutionAuthority.ForHome::new);
		Arbitrary<ExecutionAuthority> forClaimedCall = Combinators.combine(callKeys(), processes(), longs())
			.as(ExecutionAuthority.ForClaimedCall::new);
		return Arbitraries.oneOf(forHome, forClaimedCall, Arbitraries.just(new ExecutionAuthority.ForSingleCall()));
	}

	private static Arbitrary<CallKey> callKeys() {
		Arbitrary<CallKey> chosen = Combinators.combine(groups(), keys()).as(CallKey.ForIdempotencyKey::new);
		Arbitrary<CallKey> numbered = Combinators
			.combine(programs(), names().map(ServiceName::new), Arbitraries.integers().greaterOrEqual(1))
			.as(CallKey.ForProgramCall::new);
		return Arbitraries.oneOf(chosen, numbered);
	}

	private static Arbitrary<AttemptId> attempts() {
		return Combinators.combine(incarnations(), longs()).as(AttemptId::new);
	}

	private static Arbitrary<ProcessId> processes() {
		return Combinators.combine(names().map(VmName::new), incarnations()).as(ProcessId::new);
	}

	private static Arbitrary<Incarnation> incarnations() {
		return Arbitraries.longs().filter((value) -> value != 0).map(Incarnation::new);
	}

	private static Arbitrary<ProgramId> programs() {
		return Combinators.combine(groups(), printable(ProgramName.MAXIMUM_LENGTH).map(ProgramName::new))
			.as(ProgramId::new);
	}

	private static Arbitrary<GroupName> groups() {
		return names().map(GroupName::new);
	}

	private static Arbitrary<IdempotencyKey> keys() {
		return printable(IdempotencyKey.MAXIMUM_LENGTH).map(IdempotencyKey::new);
	}

	private static Arbitrary<String> printable(int length) {
		return Arbitraries.strings().withCharRange('\u0021', '\u007e').ofMinLength(1).ofMaxLength(length);
	}

	private static Arbitrary<String> names() {
		return Arbitraries.strings().alpha().numeric().ofMinLength(1).ofMaxLength(64);
	}

	private static Arbitrary<Epoch> epochs() {
		return longs().map(Epoch::new);
	}

	private static Arbitrary<Digest> digests() {
		return byteArrays().map(Digest::of);
	}

	private static Arbitrary<Body> bodies() {
		return byteArrays().map(Body::of);
	}

	private static Arbitrary<List<Header>> headers() {
		return Combinators.combine(names(), texts()).as(Header::new).list().ofMaxSize(MOST_ITEMS);
	}

	private static Arbitrary<List<String>> messages() {
		return texts().list().ofMaxSize(MOST_ITEMS);
	}

	private static Arbitrary<String> texts() {
		return Arbitraries.strings().withCharRange('\u0000', '\ud7ff').ofMaxLength(40);
	}

	private static Arbitrary<Duration> durations() {
		return longs().map(Duration::ofNanos);
	}

	private static Arbitrary<Integer> counts() {
		return Arbitraries.integers().greaterOrEqual(0);
	}

	private static Arbitrary<Long> longs() {
		return Arbitraries.longs().greaterOrEqual(0);
	}

}
