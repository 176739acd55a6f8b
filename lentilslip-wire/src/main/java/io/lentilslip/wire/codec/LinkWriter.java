package io.lentilslip.wire.codec;

import com.google.protobuf.ByteString;
import io.lentilslip.core.ledger.EndReason;
import io.lentilslip.core.link.AttemptId;
import io.lentilslip.core.link.ExecutionAuthority;
import io.lentilslip.core.link.LinkMessage;
import io.lentilslip.wire.generated.LinkProtocol;

/**
 * Writes link messages. Stateless and safe for use by several threads.
 */
final class LinkWriter {

	private LinkWriter() {
	}

	/**
	 * Writes a message.
	 * @param message the message
	 * @return the generated message
	 */
	static LinkProtocol.LinkEnvelope write(LinkMessage message) {
		LinkProtocol.LinkEnvelope.Builder envelope = LinkProtocol.LinkEnvelope.newBuilder()
			.setVersion(Fields.PROTOCOL_VERSION);
		return switch (message) {
			case LinkMessage.Hello hello -> envelope.setHello(write(hello)).build();
			case LinkMessage.Heartbeat() -> envelope.setHeartbeat(LinkProtocol.Heartbeat.getDefaultInstance()).build();
			case LinkMessage.ConfigurationOffer offer -> envelope.setConfigurationOffer(write(offer)).build();
			case LinkMessage.Dispatch dispatch -> envelope.setDispatch(write(dispatch)).build();
			case LinkMessage.Cancel cancel -> envelope.setCancel(write(cancel)).build();
			case LinkMessage.ProgramRequest askProgram -> envelope.setAskProgram(write(askProgram)).build();
			case LinkMessage.Accepted accepted -> envelope.setAccepted(write(accepted)).build();
			case LinkMessage.Started started -> envelope.setStarted(write(started)).build();
			case LinkMessage.Delta delta -> envelope.setDelta(write(delta)).build();
			case LinkMessage.Finished finished -> envelope.setFinished(write(finished)).build();
			case LinkMessage.ProgramResponse answer -> envelope.setProgramAnswer(write(answer)).build();
			case LinkMessage.LoadReport report -> envelope.setLoadReport(write(report)).build();
			case LinkMessage.Draining() -> envelope.setLeaving(LinkProtocol.Leaving.getDefaultInstance()).build();
		};
	}

	private static LinkProtocol.AttemptId write(AttemptId attempt) {
		return LinkProtocol.AttemptId.newBuilder()
			.setEntry(attempt.entry().value())
			.setNumber(attempt.number())
			.build();
	}

	private static LinkProtocol.Hello write(LinkMessage.Hello hello) {
		LinkProtocol.Hello.Builder builder = LinkProtocol.Hello.newBuilder()
			.setProcess(CallWriter.write(hello.process()))
			.setZone(hello.zone().value());
		if (hello.configurationVersion() != LinkReader.NO_CONFIGURATION) {
			builder.setConfigurationVersion(hello.configurationVersion());
		}
		return builder.build();
	}

	private static LinkProtocol.ConfigurationOffer write(LinkMessage.ConfigurationOffer offer) {
		return LinkProtocol.ConfigurationOffer.newBuilder()
			.setVersion(offer.version())
			.setSource(ByteString.copyFrom(offer.source().toBytes()))
			.build();
	}

	private static LinkProtocol.Dispatch write(LinkMessage.Dispatch dispatch) {
		return LinkProtocol.Dispatch.newBuilder()
			.setAttempt(write(dispatch.attempt()))
			.setCall(CallWriter.write(dispatch.call()))
			.setStanding(write(dispatch.authority()))
			.setTimeLeftNanos(Fields.nanos(dispatch.timeout()))
			.setDelivered(dispatch.deliveredText())
			.build();
	}

	private static LinkProtocol.Standing write(ExecutionAuthority standing) {
		LinkProtocol.Standing.Builder builder = LinkProtocol.Standing.newBuilder();
		return switch (standing) {
			case ExecutionAuthority.ForHome home -> builder.setHome(write(home)).build();
			case ExecutionAuthority.ForClaimedCall claimed -> builder.setClaimedCall(write(claimed)).build();
			case ExecutionAuthority.ForSingleCall() ->
				builder.setSingleCall(LinkProtocol.SingleCallStanding.getDefaultInstance()).build();
		};
	}

	private static LinkProtocol.HomeStanding write(ExecutionAuthority.ForHome standing) {
		return LinkProtocol.HomeStanding.newBuilder()
			.setHome(CallWriter.write(standing.home()))
			.setEpoch(standing.epoch().value())
			.setOffset(standing.offset())
			.build();
	}

	private static LinkProtocol.ClaimedCallStanding write(ExecutionAuthority.ForClaimedCall standing) {
		return LinkProtocol.ClaimedCallStanding.newBuilder()
			.setKey(LedgerWriter.write(standing.key()))
			.setExecutor(CallWriter.write(standing.executor()))
			.setOffset(standing.offset())
			.build();
	}

	private static LinkProtocol.Cancel write(LinkMessage.Cancel cancel) {
		return LinkProtocol.Cancel.newBuilder().setAttempt(write(cancel.attempt())).build();
	}

	private static LinkProtocol.AskProgram write(LinkMessage.ProgramRequest askProgram) {
		return LinkProtocol.AskProgram.newBuilder()
			.setAttempt(write(askProgram.attempt()))
			.setProgram(CallWriter.write(askProgram.program()))
			.build();
	}

	private static LinkProtocol.Accepted write(LinkMessage.Accepted accepted) {
		return LinkProtocol.Accepted.newBuilder().setAttempt(write(accepted.attempt())).build();
	}

	private static LinkProtocol.Started write(LinkMessage.Started started) {
		return LinkProtocol.Started.newBuilder()
			.setAttempt(write(started.attempt()))
			.setQueuedNanos(Fields.nanos(started.queueTime()))
			.build();
	}

	private static LinkProtocol.Delta write(LinkMessage.Delta delta) {
		return LinkProtocol.Delta.newBuilder()
			.setAttempt(write(delta.attempt()))
			.setSequence(delta.sequence())
			.setText(delta.text())
			.build();
	}

	private static LinkProtocol.Finished write(LinkMessage.Finished finished) {
		return LinkProtocol.Finished.newBuilder()
			.setAttempt(write(finished.attempt()))
			.setOutcome(CallWriter.write(finished.outcome()))
			.build();
	}

	private static LinkProtocol.ProgramAnswer write(LinkMessage.ProgramResponse answer) {
		LinkProtocol.ProgramAnswer.Builder builder = LinkProtocol.ProgramAnswer.newBuilder()
			.setAttempt(write(answer.attempt()));
		answer.view().ifPresent((view) -> builder.setView(write(view)));
		return builder.build();
	}

	private static LinkProtocol.ProgramView write(LinkMessage.ProgramView view) {
		LinkProtocol.ProgramView.Builder builder = LinkProtocol.ProgramView.newBuilder()
			.setProgram(CallWriter.write(view.program()))
			.setEpoch(view.epoch().value())
			.setLastCall(view.lastCall())
			.setPendingTurns(view.pendingTurns())
			.addAllMessages(view.messages());
		view.endReason().ifPresent((EndReason reason) -> builder.setEnded(LedgerReader.END_REASONS.write(reason)));
		return builder.build();
	}

	private static LinkProtocol.LoadReport write(LinkMessage.LoadReport report) {
		LinkProtocol.LoadReport.Builder builder = LinkProtocol.LoadReport.newBuilder()
			.setQueued(report.queued())
			.setRunning(report.running())
			.setLimit(report.limit())
			.setHeldTokens(report.heldTokens());
		report.warmPrefixes().forEach((prefix) -> builder.addWarmPrefixes(Fields.bytes(prefix)));
		return builder.build();
	}

}
