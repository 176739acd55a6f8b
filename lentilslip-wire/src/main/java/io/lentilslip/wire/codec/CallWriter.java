package io.lentilslip.wire.codec;

import java.util.List;

import com.google.protobuf.ByteString;
import io.lentilslip.core.call.Body;
import io.lentilslip.core.call.CallFailure;
import io.lentilslip.core.call.CallOutcome;
import io.lentilslip.core.call.CallRequest;
import io.lentilslip.core.call.CallResponse;
import io.lentilslip.core.call.Header;
import io.lentilslip.core.call.ProgramCall;
import io.lentilslip.core.call.ServiceRequest;
import io.lentilslip.core.call.Usage;
import io.lentilslip.core.identity.ProcessId;
import io.lentilslip.core.identity.ProgramId;
import io.lentilslip.wire.generated.CallProtocol;

/**
 * Writes the values that belong to a call. Stateless and safe for use by several threads.
 */
final class CallWriter {

	private CallWriter() {
	}

	/**
	 * Writes the identity of a process.
	 * @param process the process
	 * @return the generated message
	 */
	static CallProtocol.ProcessId write(ProcessId process) {
		return CallProtocol.ProcessId.newBuilder()
			.setVm(process.vm().value())
			.setIncarnation(process.incarnation().value())
			.build();
	}

	/**
	 * Writes the identity of a program.
	 * @param program the program
	 * @return the generated message
	 */
	static CallProtocol.ProgramId write(ProgramId program) {
		return CallProtocol.ProgramId.newBuilder()
			.setGroup(program.group().value())
			.setName(program.name().value())
			.build();
	}

	/**
	 * Writes a call.
	 * @param call the call
	 * @return the generated message
	 */
	static CallProtocol.CallRequest write(CallRequest call) {
		CallProtocol.CallRequest.Builder builder = CallProtocol.CallRequest.newBuilder()
			.setGroup(call.group().value())
			.setContent(Fields.bytes(call.contentDigest()));
		call.programCall().ifPresent((place) -> builder.setPlace(write(place)));
		call.idempotencyKey().ifPresent((key) -> builder.setKey(key.value()));
		return switch (call) {
			case CallRequest.ForModel forModel -> builder.setModel(writeModel(forModel)).build();
			case CallRequest.ForService forService -> builder.setService(writeService(forService)).build();
		};
	}

	/**
	 * Writes the outcome of a call.
	 * @param outcome the outcome
	 * @return the generated message
	 */
	static CallProtocol.Outcome write(CallOutcome outcome) {
		CallProtocol.Outcome.Builder builder = CallProtocol.Outcome.newBuilder();
		return switch (outcome) {
			case CallOutcome.Completed answered -> builder.setAnswered(writeAnswered(answered)).build();
			case CallOutcome.Failed failed -> builder.setFailed(writeFailure(failed.failure())).build();
		};
	}

	/**
	 * Writes the answer of a model.
	 * @param answer the answer
	 * @return the generated message
	 */
	static CallProtocol.ModelAnswer write(CallResponse.FromModel answer) {
		return CallProtocol.ModelAnswer.newBuilder()
			.setMessage(answer.message())
			.setFinishReason(answer.finishReason())
			.setUsage(writeUsage(answer.usage()))
			.build();
	}

	private static CallProtocol.ProgramCall write(ProgramCall place) {
		CallProtocol.ProgramCall.Builder builder = CallProtocol.ProgramCall.newBuilder()
			.setProgram(write(place.program()));
		place.parent().ifPresent((parent) -> builder.setParent(write(parent)));
		place.number().ifPresent(builder::setNumber);
		return builder.build();
	}

	private static CallProtocol.ModelRequest writeModel(CallRequest.ForModel call) {
		return CallProtocol.ModelRequest.newBuilder()
			.setModel(call.model().value())
			.setMode(CallReader.HISTORY_MODES.write(call.mode()))
			.addAllMessages(call.messages())
			.setMaximumTokens(call.maxTokens())
			.setParameters(call.parameters())
			.setStreamed(call.streamed())
			.build();
	}

	private static CallProtocol.ServiceRequest writeService(CallRequest.ForService call) {
		ServiceRequest message = call.request();
		return CallProtocol.ServiceRequest.newBuilder()
			.setService(call.service().value())
			.setMethod(message.method())
			.setPath(message.path())
			.addAllHeaders(writeHeaders(message.headers()))
			.setBody(writeBody(message.body()))
			.setRepeatable(call.repeatable())
			.build();
	}

	private static CallProtocol.Answered writeAnswered(CallOutcome.Completed answered) {
		return CallProtocol.Answered.newBuilder()
			.setAnswer(writeAnswer(answered.response()))
			.setDurability(CallReader.DURABILITIES.write(answered.durability()))
			.setNumber(answered.number())
			.build();
	}

	private static CallProtocol.Answer writeAnswer(CallResponse answer) {
		CallProtocol.Answer.Builder builder = CallProtocol.Answer.newBuilder();
		return switch (answer) {
			case CallResponse.FromModel fromModel -> builder.setModel(write(fromModel)).build();
			case CallResponse.FromService fromService -> builder.setService(writeService(fromService)).build();
		};
	}

	private static CallProtocol.ServiceAnswer writeService(CallResponse.FromService answer) {
		return CallProtocol.ServiceAnswer.newBuilder()
			.setStatus(answer.status())
			.addAllHeaders(writeHeaders(answer.headers()))
			.setBody(writeBody(answer.body()))
			.build();
	}

	private static CallProtocol.Failure writeFailure(CallFailure failure) {
		CallProtocol.Failure.Builder builder = CallProtocol.Failure.newBuilder()
			.setVerdict(CallReader.VERDICTS.write(failure.verdict()))
			.setCause(CallReader.FAILURE_CAUSES.write(failure.cause()))
			.setMessage(failure.message());
		failure.retryAfter().ifPresent((delay) -> builder.setRetryAfterNanos(Fields.nanos(delay)));
		return builder.build();
	}

	private static CallProtocol.Usage writeUsage(Usage usage) {
		return CallProtocol.Usage.newBuilder()
			.setPromptTokens(usage.promptTokens())
			.setCachedTokens(usage.cachedTokens())
			.setGeneratedTokens(usage.generatedTokens())
			.build();
	}

	private static List<CallProtocol.Header> writeHeaders(List<Header> headers) {
		return headers.stream().map(CallWriter::writeHeader).toList();
	}

	private static CallProtocol.Header writeHeader(Header header) {
		return CallProtocol.Header.newBuilder().setName(header.name()).setValue(header.value()).build();
	}

	private static ByteString writeBody(Body body) {
		return ByteString.copyFrom(body.toBytes());
	}

}
