package io.lentilslip.wire.relay;

import java.time.Duration;

import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;
import io.lentilslip.core.quota.Quota;
import io.lentilslip.wire.generated.RelayProtocol;
import io.vavr.control.Either;

/**
 * Turns what relays ask and grant each other of quotas into messages and back. Numbers
 * that no relay sends are a value on the left or are read as the nearest that one does.
 * Stateless and safe for use by several threads.
 */
final class PermitCodec {

	/**
	 * The most permits of one message that are believed.
	 */
	private static final int MAX_PERMITS = 10_000;

	private PermitCodec() {
	}

	static RelayProtocol.PermitRequest message(PermitRequest ask) {
		return RelayProtocol.PermitRequest.newBuilder()
			.setTeam(ask.team())
			.setNumber(ask.requestId())
			.setRatePerSecond(ask.quota().ratePerSecond())
			.setBurst(ask.quota().burst())
			.setWanted(ask.required())
			.setAhead(ask.prefetch())
			.setReturned(ask.expired())
			.addAllUnderWay(ask.activePrograms())
			.addAllBeginning(ask.newPrograms())
			.build();
	}

	static Either<String, PermitRequest> request(RelayProtocol.PermitRequest message) {
		if (!(message.getRatePerSecond() > 0) || !(message.getBurst() >= 0)) {
			return Either.left("a request for permits without a quota");
		}
		return Either.right(new PermitRequest(message.getTeam(), message.getNumber(),
				new Quota(message.getRatePerSecond(), message.getBurst()), bounded(message.getWanted()),
				bounded(message.getAhead()), bounded(message.getReturned()), message.getUnderWayList(),
				message.getBeginningList()));
	}

	static RelayProtocol.PermitReply message(PermitReply reply) {
		return RelayProtocol.PermitReply.newBuilder()
			.setTeam(reply.team())
			.setNumber(reply.requestId())
			.setPermits(reply.permits())
			.addAllAdmitted(reply.admissions())
			.setWait((int) reply.retryAfter().toMillis())
			.build();
	}

	static PermitReply reply(RelayProtocol.PermitReply message) {
		return new PermitReply(message.getTeam(), message.getNumber(), bounded(message.getPermits()),
				message.getAdmittedList(), Duration.ofMillis(Math.max(0, message.getWait())));
	}

	private static int bounded(int number) {
		return Math.clamp(number, 0, MAX_PERMITS);
	}

}
