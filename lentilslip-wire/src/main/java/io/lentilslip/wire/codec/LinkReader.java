package io.lentilslip.wire.codec;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import io.lentilslip.core.call.Body;
import io.lentilslip.core.identity.Digest;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ZoneName;
import io.lentilslip.core.ledger.EndReason;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.ExecutionAuthority;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.wire.generated.CallProtocol;
import io.lentilslip.wire.generated.LinkProtocol;

/**
 * Reads link messages and checks each field. Immutable and safe for use by several
 * threads.
 */
final class LinkReader {

	/**
	 * The configuration version of a process that has no configuration.
	 */
	static final long NO_CONFIGURATION = -1;

	/**
	 * The most warm prefixes of a load report.
	 */
	static final int MAXIMUM_WARM_PREFIXES = 4_096;

	private final int version;

	private final CallReader calls;

	private final LedgerReader ledger;

	/**
	 * Creates a reader.
	 * @param version the version that the sender's program writes
	 */
	LinkReader(int version) {
		this.version = version;
		this.calls = new CallReader(version);
		this.ledger = new LedgerReader(version);
	}

	/**
	 * Reads a message.
	 * @param envelope the generated message
	 * @return the message
	 */
	LinkMessage message(LinkProtocol.LinkEnvelope envelope) {
		return switch (envelope.getKindCase()) {
			case HELLO -> hello(envelope.getHello());
			case HEARTBEAT -> new LinkMessage.Heartbeat();
			case CONFIGURATION_OFFER -> configurationOffer(envelope.getConfigurationOffer());
			case DISPATCH -> dispatch(envelope.getDispatch());
			case CANCEL -> cancel(envelope.getCancel());
			case ASK_PROGRAM -> askProgram(envelope.getAskProgram());
			case ACCEPTED -> accepted(envelope.getAccepted());
			case STARTED -> started(envelope.getStarted());
			case DELTA -> delta(envelope.getDelta());
			case FINISHED -> finished(envelope.getFinished());
			case PROGRAM_ANSWER -> programAnswer(envelope.getProgramAnswer());
			case LOAD_REPORT -> loadReport(envelope.getLoadReport());
			case LEAVING -> new LinkMessage.Draining();
			case KIND_NOT_SET -> throw Fields.unknownKind("message", this.version);
		};
	}

	private AttemptId attempt(boolean present, LinkProtocol.AttemptId message) {
		Fields.require(present, "attempt");
		return new AttemptId(this.calls.incarnation(message.getEntry()),
				Fields.count(message.getNumber(), "attempt.number"));
	}

	private LinkMessage hello(LinkProtocol.Hello message) {
		long configurationVersion = message.hasConfigurationVersion()
				? Fields.count(message.getConfigurationVersion(), "configuration_version") : NO_CONFIGURATION;
		return new LinkMessage.Hello(process(message.hasProcess(), message.getProcess()),
				Fields.name(message.getZone(), "zone", ZoneName::parse), configurationVersion);
	}

	private LinkMessage configurationOffer(LinkProtocol.ConfigurationOffer message) {
		return new LinkMessage.ConfigurationOffer(Fields.count(message.getVersion(), "configuration_version"),
				Body.of(message.getSource().toByteArray()));
	}

	private LinkMessage dispatch(LinkProtocol.Dispatch message) {
		Fields.require(message.hasCall(), "call");
		Fields.require(message.hasStanding(), "standing");
		return new LinkMessage.Dispatch(attempt(message.hasAttempt(), message.getAttempt()),
				this.calls.request(message.getCall()), standing(message.getStanding()),
				Fields.duration(message.getTimeLeftNanos(), "time_left"), message.getDelivered());
	}

	private ExecutionAuthority standing(LinkProtocol.Standing message) {
		return switch (message.getKindCase()) {
			case HOME -> homeStanding(message.getHome());
			case CLAIMED_CALL -> claimedCallStanding(message.getClaimedCall());
			case SINGLE_CALL -> new ExecutionAuthority.ForSingleCall();
			case KIND_NOT_SET -> throw Fields.unknownKind("standing", this.version);
		};
	}

	private ExecutionAuthority homeStanding(LinkProtocol.HomeStanding message) {
		return new ExecutionAuthority.ForHome(process(message.hasHome(), message.getHome()),
				this.ledger.epoch(message.getEpoch()), Fields.count(message.getOffset(), "offset"));
	}

	private ExecutionAuthority claimedCallStanding(LinkProtocol.ClaimedCallStanding message) {
		Fields.require(message.hasKey(), "key");
		return new ExecutionAuthority.ForClaimedCall(this.ledger.key(message.getKey()),
				process(message.hasExecutor(), message.getExecutor()), Fields.count(message.getOffset(), "offset"));
	}

	private LinkMessage cancel(LinkProtocol.Cancel message) {
		return new LinkMessage.Cancel(attempt(message.hasAttempt(), message.getAttempt()));
	}

	private LinkMessage askProgram(LinkProtocol.AskProgram message) {
		return new LinkMessage.ProgramRequest(attempt(message.hasAttempt(), message.getAttempt()),
				program(message.hasProgram(), message.getProgram()));
	}

	private LinkMessage accepted(LinkProtocol.Accepted message) {
		return new LinkMessage.Accepted(attempt(message.hasAttempt(), message.getAttempt()));
	}

	private LinkMessage started(LinkProtocol.Started message) {
		return new LinkMessage.Started(attempt(message.hasAttempt(), message.getAttempt()),
				Fields.duration(message.getQueuedNanos(), "queued"));
	}

	private LinkMessage delta(LinkProtocol.Delta message) {
		return new LinkMessage.Delta(attempt(message.hasAttempt(), message.getAttempt()),
				Fields.count(message.getSequence(), "sequence"), message.getText());
	}

	private LinkMessage finished(LinkProtocol.Finished message) {
		Fields.require(message.hasOutcome(), "outcome");
		return new LinkMessage.Finished(attempt(message.hasAttempt(), message.getAttempt()),
				this.calls.outcome(message.getOutcome()));
	}

	private LinkMessage programAnswer(LinkProtocol.ProgramAnswer message) {
		Optional<LinkMessage.ProgramView> view = message.hasView() ? Optional.of(programView(message.getView()))
				: Optional.empty();
		return new LinkMessage.ProgramResponse(attempt(message.hasAttempt(), message.getAttempt()), view);
	}

	private LinkMessage.ProgramView programView(LinkProtocol.ProgramView message) {
		Optional<EndReason> ended = message.hasEnded()
				? Optional.of(LedgerReader.END_REASONS.read(message.getEnded(), "ended", this.version))
				: Optional.empty();
		return new LinkMessage.ProgramView(program(message.hasProgram(), message.getProgram()),
				this.ledger.epoch(message.getEpoch()), Fields.count(message.getLastCall(), "last_call"),
				Fields.count(message.getPendingTurns(), "pending_turns"), ended,
				this.calls.messages(message.getMessagesList()));
	}

	private LinkMessage loadReport(LinkProtocol.LoadReport message) {
		List<ByteString> prefixes = Fields.bounded(message.getWarmPrefixesList(), MAXIMUM_WARM_PREFIXES,
				"warm_prefixes");
		return new LinkMessage.LoadReport(Fields.count(message.getQueued(), "queued"),
				Fields.count(message.getRunning(), "running"), Fields.count(message.getLimit(), "limit"),
				Fields.count(message.getHeldTokens(), "held_tokens"), prefixes.stream().map(this::prefix).toList());
	}

	private Digest prefix(ByteString bytes) {
		return Fields.digest(bytes, "warm_prefixes");
	}

	private ProcessId process(boolean present, CallProtocol.ProcessId message) {
		Fields.require(present, "process");
		return this.calls.process(message);
	}

	private ProgramId program(boolean present, CallProtocol.ProgramId message) {
		Fields.require(present, "program");
		return this.calls.program(message);
	}

}
