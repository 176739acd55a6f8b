package io.lentilslip.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import io.lentilslip.core.admission.ProgramAdmission;
import io.lentilslip.core.admission.ProgramAdmission.Decision;
import io.lentilslip.core.notice.FieldName;
import io.lentilslip.core.notice.Notice;
import io.lentilslip.core.notice.NoticeCode;
import io.lentilslip.core.notice.NoticeField;
import io.lentilslip.core.relay.RequestHead.Resumption;
import io.lentilslip.core.relay.UpstreamSelector.RankedUpstream;
import io.lentilslip.core.relay.Upstreams.UpstreamState;

/**
 * Creates the notices of a relay, with the fields that explain each decision about a
 * request. Stateless.
 */
final class RelayNotices {

	private static final String NONE = "none";

	private static final int PERCENT = 100;

	private RelayNotices() {
	}

	static Notice routesAccepted(RouteTable table) {
		return notice(NoticeCode.ROUTES_ACCEPTED, field(FieldName.VERSION, table.version()),
				field(FieldName.COUNT, table.routes().size()));
	}

	static Notice upstreamListed(Upstream upstream) {
		if (upstream.draining()) {
			return notice(NoticeCode.UPSTREAM_LEAVING, field(FieldName.VM, upstream.id()),
					field(FieldName.ZONE, upstream.zone()), field(FieldName.REASON, "listed"));
		}
		return notice(NoticeCode.UPSTREAM_LISTED, field(FieldName.UPSTREAM, upstream.id()),
				field(FieldName.SERVICE, upstream.service()), field(FieldName.ZONE, upstream.zone()),
				field(FieldName.ADDRESS, upstream.host() + ":" + upstream.port()),
				field(FieldName.SOFTWARE, upstream.version()));
	}

	/**
	 * Reports an invalid upstream record.
	 * @param key the key of the record
	 * @param error the reason
	 * @return the notice
	 */
	static Notice upstreamInvalid(String key, UpstreamRecordError error) {
		return notice(NoticeCode.UPSTREAM_UNUSABLE, field(FieldName.UPSTREAM, key), field(FieldName.REASON, error));
	}

	static Notice upstreamRemoved(String upstream) {
		return notice(NoticeCode.UPSTREAM_GONE, field(FieldName.UPSTREAM, upstream));
	}

	/**
	 * Reports how it was decided whether a turn fits its budget.
	 * @param exchange the exchange
	 * @param by what decided
	 * @param responses the number of other relays that had responded
	 * @param admitted whether the turn was admitted
	 * @param state the state of the relay
	 * @return the notice
	 */
	static Notice turnDecided(Exchange exchange, BudgetRules.Decider by, int responses, boolean admitted,
			RelayState state) {
		return notice(NoticeCode.TURN_DECIDED, request(exchange), program(exchange), field(FieldName.REASON, by),
				field(FieldName.COUNT, responses), field(FieldName.VERDICT, admitted ? "HELD" : "NOT_HELD"),
				tokens(exchange, state), budget(exchange), elapsed(exchange, state.now));
	}

	static Notice syncCompleted(int peers) {
		return notice(NoticeCode.RELAY_COMPLETE, field(FieldName.COUNT, peers));
	}

	static Notice logCaughtUp(RelayEvent.CaughtUp event) {
		return notice(NoticeCode.LOG_CAUGHT_UP, field(FieldName.OFFSET, event.offset()),
				field(FieldName.MILLISECONDS, event.duration().toMillis()));
	}

	/**
	 * Returns the notice of a text that the log does not have.
	 * @param request the turn
	 * @param locations the number of its known locations
	 * @param age the age of its newest record
	 * @return the notice
	 */
	static Notice textNotFound(String request, int locations, Duration age) {
		return notice(NoticeCode.TEXT_NOT_FOUND, field(FieldName.REQUEST, request), field(FieldName.COUNT, locations),
				field(FieldName.MILLISECONDS, age.toMillis()));
	}

	static Notice entriesAdopted(int entries) {
		return notice(NoticeCode.ENTRIES_ADOPTED, field(FieldName.COUNT, entries));
	}

	static Notice processResumed(Duration pause) {
		return notice(NoticeCode.RELAY_WOKEN, field(FieldName.MILLISECONDS, pause.toMillis()));
	}

	static Notice connectivityChanged(RelayEvent.Connectivity connectivity) {
		return notice(NoticeCode.REACH_CHANGED, field(FieldName.REASON, connectivity));
	}

	static Notice attemptFailed(Exchange exchange, RelayEvent.FailureCause cause, RelayState state) {
		return attemptFailed(exchange, cause.toString(), state);
	}

	private static Notice attemptFailed(Exchange exchange, String reason, RelayState state) {
		return notice(NoticeCode.ATTEMPT_FAILED, request(exchange), upstream(exchange), attempt(exchange),
				field(FieldName.REASON, reason), events(exchange),
				field(FieldName.MILLISECONDS, state.now - exchange.lastActivityAt()), digest(exchange),
				failures(exchange, state));
	}

	/**
	 * Reports to which upstream a request was sent, and the alternatives.
	 * @param exchange the exchange, already sent
	 * @param ranked the ranked upstreams, the selected one first
	 * @param state the state of the relay
	 * @return the notice
	 */
	static Notice requestPlaced(Exchange exchange, List<RankedUpstream> ranked, RelayState state) {
		String candidates = ranked.stream().map((next) -> describe(next, state.now)).collect(Collectors.joining("; "));
		return notice(NoticeCode.REQUEST_PLACED, request(exchange), program(exchange), upstream(exchange),
				attempt(exchange), field(FieldName.VERSION, state.routeTable.map(RouteTable::version).orElse(0L)),
				field(FieldName.CANDIDATES, candidates), elapsed(exchange, state.now), tokens(exchange, state),
				budget(exchange), digest(exchange), failures(exchange, state),
				field(FieldName.SOFTWARE, exchange.upstream().map(Upstream::version).orElse(NONE)),
				field(FieldName.RESUMED, exchange.resumption().flatMap(Resumption::request).orElse(NONE)),
				field(FieldName.LAST_EVENT,
						exchange.lastEvent().stream().mapToObj(Long::toString).findFirst().orElse(NONE)));
	}

	private static String describe(RankedUpstream ranked, long now) {
		UpstreamState state = ranked.state();
		String age = state.reportAge(now).stream().mapToObj(Long::toString).findFirst().orElse(NONE);
		return state.upstream().id() + " cost=" + Math.round(ranked.costMillis()) + " load=" + ranked.load()
				+ " unread=" + ranked.uncachedTokens() + " age=" + age;
	}

	static Notice requestWrittenLate(Exchange exchange, Duration delay) {
		return notice(NoticeCode.REQUEST_WRITTEN_LATE, request(exchange), program(exchange), upstream(exchange),
				attempt(exchange), field(FieldName.MILLISECONDS, delay.toMillis()));
	}

	static Notice misdirected(Exchange exchange, RelayState state) {
		return attemptFailed(exchange, "MISDIRECTED", state);
	}

	static Notice upstreamIdle(Exchange exchange, RelayState state) {
		return attemptFailed(exchange, "SILENT", state);
	}

	static Notice requestRefused(RequestHead head, Refusal refusal) {
		return notice(NoticeCode.REQUEST_REFUSED, field(FieldName.REQUEST, head.id()), field(FieldName.REASON, refusal),
				field(FieldName.VERDICT, refusal.verdict()));
	}

	static Notice requestRefused(Exchange exchange, Refusal refusal, RelayState state) {
		return notice(NoticeCode.REQUEST_REFUSED, request(exchange), program(exchange),
				field(FieldName.ROUTE, exchange.route().name()), field(FieldName.REASON, refusal),
				field(FieldName.VERDICT, refusal.verdict()), upstream(exchange), attempt(exchange),
				elapsed(exchange, state.now), tokens(exchange, state), budget(exchange), digest(exchange),
				failures(exchange, state));
	}

	/**
	 * Reports a request rejected by a quota.
	 * @param exchange the exchange
	 * @param refusal the reason
	 * @param coordinator the coordinator of the team
	 * @param waiting the number of requests of the team that wait at this relay
	 * @param retryAfter the retry delay given to the caller
	 * @param state the state of the relay
	 * @return the notice
	 */
	static Notice quotaRefused(Exchange exchange, Refusal refusal, String coordinator, int waiting, Duration retryAfter,
			RelayState state) {
		String limit = exchange.team()
			.flatMap(Team::quota)
			.map((quota) -> quota.ratePerSecond() + "/s+" + quota.burst())
			.orElse(NONE);
		return notice(NoticeCode.QUOTA_REFUSED, request(exchange),
				field(FieldName.GROUP, exchange.team().map(Team::name).orElse(NONE)), field(FieldName.REASON, refusal),
				field(FieldName.LIMIT, limit),
				field(FieldName.VERSION, state.routeTable.map(RouteTable::version).orElse(0L)),
				field(FieldName.ADDRESS, coordinator), field(FieldName.COUNT, waiting),
				field(FieldName.MILLISECONDS, retryAfter.toMillis()));
	}

	/**
	 * Reports a program for which a service has no room.
	 * @param exchange the exchange of its first turn
	 * @param refused the decision
	 * @param admission the admission of the service, with the inputs of the decision
	 * @param now the current time
	 * @return the notice
	 */
	static Notice loadRefused(Exchange exchange, Decision.Refused refused, ProgramAdmission admission, long now) {
		return notice(NoticeCode.PROGRAM_REFUSED, request(exchange), program(exchange),
				field(FieldName.GROUP, exchange.team().map(Team::name).orElse(NONE)),
				field(FieldName.ROUTE, exchange.route().name()), field(FieldName.PRIORITY, exchange.priority()),
				field(FieldName.LIMIT, percent(refused.cutoff())),
				field(FieldName.WAIT, admission.expectedWait().toMillis()),
				field(FieldName.RETRY_AFTER, refused.retryAfter().toMillis()), elapsed(exchange, now));
	}

	private static String percent(double fraction) {
		return Math.round(fraction * PERCENT) + "%";
	}

	static Notice callerDisconnected(Exchange exchange, long now) {
		return notice(NoticeCode.CALLER_LEFT, request(exchange), program(exchange), upstream(exchange),
				events(exchange), elapsed(exchange, now));
	}

	static Notice requestAnswered(Exchange exchange, int status, long now) {
		return notice(NoticeCode.REQUEST_ANSWERED, request(exchange), program(exchange),
				field(FieldName.ROUTE, exchange.route().name()), upstream(exchange), attempt(exchange),
				field(FieldName.STATUS, status), events(exchange), elapsed(exchange, now));
	}

	static Notice streamAborted(Exchange exchange, Refusal reason, long now) {
		return notice(NoticeCode.STREAM_BROKEN_OFF, request(exchange), program(exchange), upstream(exchange),
				attempt(exchange), events(exchange), elapsed(exchange, now), field(FieldName.REASON, reason));
	}

	private static NoticeField request(Exchange exchange) {
		return field(FieldName.REQUEST, exchange.head().id());
	}

	private static NoticeField program(Exchange exchange) {
		return field(FieldName.PROGRAM, exchange.head().turn().map(RequestHead.Turn::program).orElse(NONE));
	}

	private static NoticeField upstream(Exchange exchange) {
		return field(FieldName.UPSTREAM, exchange.upstream().map(Upstream::id).orElse(NONE));
	}

	private static NoticeField attempt(Exchange exchange) {
		return field(FieldName.ATTEMPT, exchange.attempt());
	}

	private static NoticeField events(Exchange exchange) {
		return field(FieldName.COUNT, exchange.eventCount());
	}

	// The tokens of the budget that are used or reserved, as known to this relay.
	private static NoticeField tokens(Exchange exchange, RelayState state) {
		return field(FieldName.TOKENS,
				exchange.head().turn().map((turn) -> state.tokens.used(turn.program())).orElse(0L));
	}

	private static NoticeField budget(Exchange exchange) {
		OptionalLong budget = exchange.head().turn().map(RequestHead.Turn::budget).orElse(OptionalLong.empty());
		return field(FieldName.LIMIT, budget.stream().mapToObj(Long::toString).findFirst().orElse(NONE));
	}

	private static NoticeField digest(Exchange exchange) {
		return field(FieldName.DIGEST,
				Long.toHexString(exchange.targetDigest()) + '-' + Long.toHexString(exchange.digest()));
	}

	private static NoticeField failures(Exchange exchange, RelayState state) {
		return field(FieldName.FAILURES, Math.max(state.poisonRequests.failures(exchange.digest()),
				state.poisonRequests.failures(exchange.targetDigest())));
	}

	private static NoticeField elapsed(Exchange exchange, long now) {
		return field(FieldName.MILLISECONDS, now - exchange.request().now());
	}

	private static Notice notice(NoticeCode code, NoticeField... fields) {
		return new Notice(code, List.of(fields));
	}

	private static NoticeField field(FieldName name, Object value) {
		return new NoticeField(name, value.toString());
	}

}
