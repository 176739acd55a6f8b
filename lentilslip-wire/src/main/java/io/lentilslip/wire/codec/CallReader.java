package io.lentilslip.wire.codec;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

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
import io.lentilslip.core.identity.GroupName;
import io.lentilslip.core.identity.IdempotencyKey;
import io.lentilslip.core.identity.Incarnation;
import io.lentilslip.core.identity.ModelName;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.core.identity.ProgramName;
import io.lentilslip.core.identity.ServiceName;
import io.lentilslip.core.identity.VmName;
import io.lentilslip.core.verdict.Verdict;
import io.lentilslip.wire.generated.CallProtocol;

/**
 * Reads the values that belong to a call and checks each field. Immutable and safe for
 * use by several threads.
 */
final class CallReader {

	/**
	 * The most messages of a call, a turn or a history.
	 */
	static final int MAXIMUM_MESSAGES = 20_000;

	/**
	 * The most headers of an HTTP message.
	 */
	static final int MAXIMUM_HEADERS = 256;

	static final EnumMapping<HistoryMode, CallProtocol.HistoryMode> HISTORY_MODES = EnumMapping
		.between(HistoryMode.class, CallProtocol.HistoryMode.class, "HISTORY_MODE_");

	static final EnumMapping<Durability, CallProtocol.Durability> DURABILITIES = EnumMapping.between(Durability.class,
			CallProtocol.Durability.class, "DURABILITY_");

	static final EnumMapping<Verdict, CallProtocol.Verdict> VERDICTS = EnumMapping.between(Verdict.class,
			CallProtocol.Verdict.class, "VERDICT_");

	static final EnumMapping<FailureCause, CallProtocol.FailureCause> FAILURE_CAUSES = EnumMapping
		.between(FailureCause.class, CallProtocol.FailureCause.class, "FAILURE_CAUSE_");

	private final int version;

	/**
	 * Creates a reader.
	 * @param version the version that the sender's program writes
	 */
	CallReader(int version) {
		this.version = version;
	}

	/**
	 * Reads the identity of a process.
	 * @param message the generated message
	 * @return the process
	 */
	ProcessId process(CallProtocol.ProcessId message) {
		VmName vm = Fields.name(message.getVm(), "vm", VmName::parse);
		return new ProcessId(vm, incarnation(message.getIncarnation()));
	}

	/**
	 * Reads the life of a process.
	 * @param value the number that was read
	 * @return the incarnation
	 */
	Incarnation incarnation(long value) {
		Fields.require(value != 0, "incarnation");
		return new Incarnation(value);
	}

	/**
	 * Reads the identity of a program.
	 * @param message the generated message
	 * @return the program
	 */
	ProgramId program(CallProtocol.ProgramId message) {
		ProgramName name = Fields.name(message.getName(), "program", ProgramName::parse);
		return new ProgramId(group(message.getGroup()), name);
	}

	/**
	 * Reads the name of a group.
	 * @param text the text that was read
	 * @return the group
	 */
	GroupName group(String text) {
		return Fields.name(text, "group", GroupName::parse);
	}

	/**
	 * Reads the key of a call.
	 * @param text the text that was read
	 * @return the key
	 */
	IdempotencyKey idempotencyKey(String text) {
		return Fields.name(text, "key", IdempotencyKey::parse);
	}

	/**
	 * Reads the name of a service.
	 * @param text the text that was read
	 * @return the service
	 */
	ServiceName service(String text) {
		return Fields.name(text, "service", ServiceName::parse);
	}

	/**
	 * Reads a call.
	 * @param message the generated message
	 * @return the call
	 */
	CallRequest request(CallProtocol.CallRequest message) {
		return switch (message.getKindCase()) {
			case MODEL -> modelRequest(message, message.getModel());
			case SERVICE -> serviceRequest(message, message.getService());
			case KIND_NOT_SET -> throw Fields.unknownKind("call", this.version);
		};
	}

	/**
	 * Reads the outcome of a call.
	 * @param message the generated message
	 * @return the outcome
	 */
	CallOutcome outcome(CallProtocol.Outcome message) {
		return switch (message.getKindCase()) {
			case ANSWERED -> answered(message.getAnswered());
			case FAILED -> new CallOutcome.Failed(failure(message.getFailed()));
			case KIND_NOT_SET -> throw Fields.unknownKind("outcome", this.version);
		};
	}

	/**
	 * Reads the answer of a model.
	 * @param message the generated message
	 * @return the answer
	 */
	CallResponse.FromModel modelAnswer(CallProtocol.ModelAnswer message) {
		Fields.require(message.hasUsage(), "usage");
		return new CallResponse.FromModel(message.getMessage(), message.getFinishReason(), usage(message.getUsage()));
	}

	/**
	 * Reads the messages of a call, a turn or a history.
	 * @param messages the texts that were read
	 * @return the messages
	 */
	List<String> messages(List<String> messages) {
		return Fields.bounded(messages, MAXIMUM_MESSAGES, "messages");
	}

	private CallRequest modelRequest(CallProtocol.CallRequest message, CallProtocol.ModelRequest model) {
		return new CallRequest.ForModel(group(message.getGroup()), place(message), key(message),
				Fields.digest(message.getContent(), "content"),
				Fields.name(model.getModel(), "model", ModelName::parse),
				HISTORY_MODES.read(model.getMode(), "mode", this.version), messages(model.getMessagesList()),
				Fields.count(model.getMaximumTokens(), "maximum_tokens"), model.getParameters(), model.getStreamed());
	}

	private CallRequest serviceRequest(CallProtocol.CallRequest message, CallProtocol.ServiceRequest service) {
		return new CallRequest.ForService(group(message.getGroup()), place(message), key(message),
				Fields.digest(message.getContent(), "content"), service(service.getService()), serviceMessage(service),
				service.getRepeatable());
	}

	private ServiceRequest serviceMessage(CallProtocol.ServiceRequest service) {
		Fields.require(!service.getMethod().isEmpty(), "method");
		if (!service.getPath().startsWith("/")) {
			throw Fields.invalid("path", "a path that begins with a slash");
		}
		return new ServiceRequest(service.getMethod(), service.getPath(), headers(service.getHeadersList()),
				Body.of(service.getBody().toByteArray()));
	}

	private Optional<ProgramCall> place(CallProtocol.CallRequest message) {
		if (!message.hasPlace()) {
			return Optional.empty();
		}
		return Optional.of(programCall(message.getPlace()));
	}

	private ProgramCall programCall(CallProtocol.ProgramCall message) {
		Fields.require(message.hasProgram(), "program");
		ProgramId program = program(message.getProgram());
		Optional<ProgramId> parent = message.hasParent() ? Optional.of(program(message.getParent())) : Optional.empty();
		if (parent.filter(program::equals).isPresent()) {
			throw Fields.invalid("parent", "another program");
		}
		return new ProgramCall(program, parent, number(message));
	}

	private Optional<Integer> number(CallProtocol.ProgramCall message) {
		if (!message.hasNumber()) {
			return Optional.empty();
		}
		return Optional.of(Fields.ordinal(message.getNumber(), "number"));
	}

	private Optional<IdempotencyKey> key(CallProtocol.CallRequest message) {
		if (!message.hasKey()) {
			return Optional.empty();
		}
		return Optional.of(idempotencyKey(message.getKey()));
	}

	private CallOutcome answered(CallProtocol.Answered message) {
		Fields.require(message.hasAnswer(), "answer");
		return new CallOutcome.Completed(answer(message.getAnswer()),
				DURABILITIES.read(message.getDurability(), "durability", this.version),
				Fields.count(message.getNumber(), "number"));
	}

	private CallResponse answer(CallProtocol.Answer message) {
		return switch (message.getKindCase()) {
			case MODEL -> modelAnswer(message.getModel());
			case SERVICE -> serviceAnswer(message.getService());
			case KIND_NOT_SET -> throw Fields.unknownKind("answer", this.version);
		};
	}

	private CallResponse serviceAnswer(CallProtocol.ServiceAnswer message) {
		return new CallResponse.FromService(Fields.count(message.getStatus(), "status"),
				headers(message.getHeadersList()), Body.of(message.getBody().toByteArray()));
	}

	private CallFailure failure(CallProtocol.Failure message) {
		Optional<Duration> retryAfter = message.hasRetryAfterNanos()
				? Optional.of(Fields.duration(message.getRetryAfterNanos(), "retry_after")) : Optional.empty();
		return new CallFailure(VERDICTS.read(message.getVerdict(), "verdict", this.version),
				FAILURE_CAUSES.read(message.getCause(), "cause", this.version), message.getMessage(), retryAfter);
	}

	private Usage usage(CallProtocol.Usage message) {
		return new Usage(Fields.count(message.getPromptTokens(), "prompt_tokens"),
				Fields.count(message.getCachedTokens(), "cached_tokens"),
				Fields.count(message.getGeneratedTokens(), "generated_tokens"));
	}

	private List<Header> headers(List<CallProtocol.Header> headers) {
		return Fields.bounded(headers, MAXIMUM_HEADERS, "headers").stream().map(this::header).toList();
	}

	private Header header(CallProtocol.Header message) {
		Fields.require(!message.getName().isEmpty(), "header");
		return new Header(message.getName(), message.getValue());
	}

}
