package io.lentilslip.wire.relay;

import java.time.Duration;

import io.lentilslip.core.quota.PermitReply;
import io.lentilslip.core.quota.PermitRequest;
import io.lentilslip.core.quota.Quota;
import io.lentilslip.wire.generated.RelayProtocol;
import io.vavr.control.Either;

/**
 * Encodes and decodes requests for permits and their replies. Invalid requests are
 * returned as errors; numbers out of range are clamped. Stateless and safe for use by
 * several threads.
 */
final class PermitCodec {

	/**
	 * The maximum number of permits that is accepted in one message.
	 */
	private static final int MAX_PERMITS = 10_000;

	private PermitCodec() {
	}

	static RelayProtocol.PermitRequest message(PermitRequest request) {
		return RelayProtocol.PermitRequest.newBuilder()
			.setTeam(request.team())
			.setNumber(request.requestId())
			.setRatePerSecond(request.quota().ratePerSecond())
			.setBurst(request.quota().burst())
			.setWanted(request.required())
			.setAhead(request.prefetch())
			.setReturned(request.expired())
			.addAllUnderWay(request.activePrograms())
			.addAllBeginning(request.newPrograms())
			.build();
	}

	static Either<String, PermitRequest> request(RelayProtocol.PermitRequest message) {
		if (!(message.getRatePerSecond() > 0) || !(message.getBurst() >= 0)) {
			return Either.left("permit request has no valid quota");
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
