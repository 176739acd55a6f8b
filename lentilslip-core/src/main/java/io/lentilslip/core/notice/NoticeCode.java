package io.lentilslip.core.notice;

import java.util.Arrays;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Catalogue of numbered events. The comment of each code states when the event is
 * emitted; its meaning and action are for operators. Numbers are never reused, and the
 * thousands digit selects the {@link Range}. {@code docs/EVENTS.md} has a row for each
 * code. Safe for use by several threads.
 */
public enum NoticeCode {

	/**
	 * Written once, before any port is opened.
	 */
	PROCESS_STARTED(1001, Level.INFO, "A process started and has read its settings.", "Nothing.", FieldName.ROLE,
			FieldName.VM, FieldName.ZONE, FieldName.INCARNATION),

	/**
	 * Written once for each error in the settings, before the exit.
	 */
	SETTINGS_REFUSED(1002, Level.ERROR, "The settings are invalid, and the process does not start.",
			"Correct the settings at the named line and start again.", FieldName.FILE, FieldName.LINE, FieldName.REASON,
			FieldName.EXPECTED),

	/**
	 * Written when the first configuration is active and the port is open.
	 */
	PROCESS_READY(1003, Level.INFO, "The process accepts work.", "Nothing.", FieldName.ROLE, FieldName.VM,
			FieldName.ADDRESS, FieldName.MILLISECONDS),

	/**
	 * Written on the first stop signal or drain command; {@code COUNT} is the number of
	 * requests in flight.
	 */
	DRAINING_BEGAN(1004, Level.INFO,
			"The process is draining: it accepts no new work and completes the requests in flight.",
			"Wait until draining has ended before removing the VM.", FieldName.ROLE, FieldName.VM, FieldName.COUNT,
			FieldName.LIMIT, FieldName.REASON),

	/**
	 * Written when no request is in flight or the drain timeout expires, whichever comes
	 * first.
	 */
	DRAINING_ENDED(1005, Level.INFO,
			"Draining has ended, and the process exits; the count is the number of requests still in flight.",
			"If the count is not zero, raise the drain timeout.", FieldName.ROLE, FieldName.VM, FieldName.COUNT,
			FieldName.MILLISECONDS, FieldName.REASON),

	/**
	 * Written on a stop signal that arrives while draining.
	 */
	SECOND_STOP_SIGNAL(1006, Level.WARN,
			"A second stop signal arrived while draining, and the process exits immediately.",
			"Send one signal and wait; the counted calls were aborted.", FieldName.ROLE, FieldName.VM, FieldName.COUNT),

	/**
	 * Written when the reducer or its effect executor throws, immediately before the
	 * process exits.
	 */
	PROCESS_FAILED(1007, Level.ERROR,
			"An internal error terminated the process, because its state may be inconsistent.",
			"Report the error with this line; a new incarnation of the process takes over.", FieldName.ROLE,
			FieldName.VM, FieldName.REASON),

	/**
	 * Written when the mailbox starts to reject events, and at most once a second after
	 * that.
	 */
	MAILBOX_FULL(1008, Level.WARN, "Work arrives faster than the process can handle it, and the excess is rejected.",
			"Reduce the load, or add entries and upstreams.", FieldName.ROLE, FieldName.VM, FieldName.COUNT,
			FieldName.LIMIT),

	/**
	 * Written when a rule of a relay throws; the exchange of the event is ended. Also
	 * written when records of the store can't be handled; {@code CALL} is then their
	 * topic.
	 */
	DECISION_FAILED(1009, Level.ERROR, "An internal error aborted the handling of one event; the relay continues.",
			"Report the error with this line and the preceding lines.", FieldName.CALL, FieldName.REASON),

	/**
	 * Written with the first event after a second in which events of one code exceeded
	 * the rate limit; {@code KEY} is the number of that code.
	 */
	EVENTS_HELD_BACK(1010, Level.WARN,
			"Events of one code exceeded the rate limit of the log; the excess was only counted.",
			"Read the metric of events; events at such a rate usually have a single cause.", FieldName.KEY,
			FieldName.COUNT, FieldName.LIMIT),

	/**
	 * Written when lines are accepted again after some were dropped.
	 */
	LINES_DROPPED(1011, Level.WARN, "The consumer of the log output was too slow, and lines were dropped.",
			"Check what reads the standard output of the process.", FieldName.COUNT),

	/**
	 * Written by each process that activates a version; {@code COUNT} is the number of
	 * groups.
	 */
	CONFIGURATION_ACCEPTED(2001, Level.INFO, "A configuration is active in this process.", "Nothing.",
			FieldName.VERSION, FieldName.OFFSET, FieldName.COUNT),

	/**
	 * Written once for each error in a published configuration.
	 */
	CONFIGURATION_REFUSED(2002, Level.ERROR,
			"A configuration is rejected as a whole, and the previous one stays active.",
			"Correct the named line and publish again.", FieldName.VERSION, FieldName.OFFSET, FieldName.FILE,
			FieldName.LINE, FieldName.REASON, FieldName.EXPECTED),

	/**
	 * Written when the base version of a record is no longer the newest one.
	 */
	CONFIGURATION_SUPERSEDED(2003, Level.WARN,
			"Another configuration with the same base version was published first, so this one has no effect.",
			"Compare with the active version and publish again.", FieldName.VERSION, FieldName.OFFSET,
			FieldName.REASON),

	/**
	 * Written when the base version of a record was never read.
	 */
	CONFIGURATION_GAP(2004, Level.WARN,
			"Configuration records are missing from the log; the newest known version stays active.",
			"If no peer supplies a newer version, publish again.", FieldName.VERSION, FieldName.OFFSET,
			FieldName.REASON),

	/**
	 * Written after each unsuccessful wait for the first configuration.
	 */
	CONFIGURATION_AWAITED(2005, Level.WARN, "No configuration is known yet, and the process accepts no calls.",
			"Check the log service; publish a configuration if there is none.", FieldName.REASON,
			FieldName.MILLISECONDS),

	/**
	 * Written when the version of a peer is newer than any version read from the log.
	 */
	CONFIGURATION_FROM_PEER(2006, Level.INFO, "A newer configuration was received from a peer.", "Nothing.",
			FieldName.VERSION, FieldName.VM),

	/**
	 * Written by a relay for each route table that it activates; {@code COUNT} is the
	 * number of routes.
	 */
	ROUTES_ACCEPTED(2007, Level.INFO, "A route table is active in this relay.", "Nothing.", FieldName.VERSION,
			FieldName.COUNT),

	/**
	 * Written each time an invalid route table is read.
	 */
	ROUTES_REFUSED(2008, Level.ERROR, "The newest route table is invalid; the relay keeps the previous one.",
			"Correct the error given as the reason and publish the table again.", FieldName.REASON),

	/**
	 * Written by the entry when the handshake completes.
	 */
	SIDECAR_LINKED(3001, Level.INFO, "A sidecar is connected to this entry.", "Nothing.", FieldName.VM, FieldName.ZONE,
			FieldName.ADDRESS, FieldName.INCARNATION),

	/**
	 * Written by both ends of the connection.
	 */
	LINK_LOST(3002, Level.WARN,
			"The connection to a peer is lost; the count is the number of calls whose outcome is unknown.",
			"If the connection is not restored, check the VM and the network between the zones.", FieldName.VM,
			FieldName.ZONE, FieldName.ADDRESS, FieldName.INCARNATION, FieldName.REASON, FieldName.COUNT),

	/**
	 * Written on the first indication: the VM list, an announcement, or a stop of the
	 * sidecar.
	 */
	UPSTREAM_LEAVING(3003, Level.INFO, "An upstream is draining and receives no new work.", "Nothing.", FieldName.VM,
			FieldName.ZONE, FieldName.INCARNATION, FieldName.REASON),

	/**
	 * Written when a known VM connects with a new incarnation.
	 */
	UPSTREAM_REPLACED(3004, Level.INFO,
			"An upstream was replaced by a new incarnation, and the state of the previous one is discarded.",
			"Nothing, unless it repeats: then find out why the process exits.", FieldName.VM, FieldName.ZONE,
			FieldName.ADDRESS, FieldName.INCARNATION),

	/**
	 * Written when a message fails verification; {@code COUNT} is the number of messages
	 * rejected on the connection.
	 */
	MESSAGE_REFUSED(3005, Level.WARN,
			"A message between processes is forged or malformed, and its connection is closed.",
			"Check which process sends from that address, and that both processes run compatible versions.",
			FieldName.VM, FieldName.ADDRESS, FieldName.REASON, FieldName.COUNT),

	/**
	 * Written once for each period without heartbeats, not for each missing heartbeat.
	 */
	HEARTBEAT_LATE(3006, Level.WARN, "The heartbeat of a peer is late, so the peer receives no new work.",
			"If it persists, check the load of the VM and the network.", FieldName.VM, FieldName.ZONE,
			FieldName.MILLISECONDS),

	/**
	 * Written when the connection to another relay is established.
	 */
	PEER_LINKED(3007, Level.INFO, "Another relay is connected to this one.", "Nothing.", FieldName.ADDRESS),

	/**
	 * Written when the connection to another relay ends.
	 */
	PEER_LOST(3008, Level.WARN, "The connection to another relay is lost.",
			"If the connection is not restored, check the VM and the network between the zones.", FieldName.ADDRESS,
			FieldName.REASON),

	/**
	 * Written when the platform lists an upstream for the first time.
	 */
	UPSTREAM_LISTED(3009, Level.INFO, "An upstream is listed and can receive requests.", "Nothing.", FieldName.UPSTREAM,
			FieldName.SERVICE, FieldName.ZONE, FieldName.ADDRESS, FieldName.SOFTWARE),

	/**
	 * Written when the platform no longer lists an upstream.
	 */
	UPSTREAM_GONE(3010, Level.INFO, "An upstream is no longer listed and receives no more requests.", "Nothing.",
			FieldName.UPSTREAM),

	/**
	 * Written when a relay loses or regains its connections to the log or to all other
	 * relays.
	 */
	REACH_CHANGED(3011, Level.WARN,
			"The connectivity of a relay has changed: it reaches the log, only other relays, or nothing.",
			"Check the network of its VM.", FieldName.REASON),

	/**
	 * Written when a relay detects that its process was paused.
	 */
	RELAY_WOKEN(3012, Level.WARN,
			"The process of a relay was paused; its turns wait until it has caught up with the log.",
			"If it repeats, find out what pauses its VM or starves it of processor time.", FieldName.MILLISECONDS),

	/**
	 * Written when the address of a relay that was unreachable for a long time is
	 * removed.
	 */
	PEER_FORGOTTEN(3013, Level.INFO, "Another relay was unreachable for a long time, and its address is removed.",
			"Nothing if its VM was removed; otherwise check the network between the two relays.", FieldName.ADDRESS),

	/**
	 * Written when a relay has read the log to its end after its start or a pause.
	 */
	LOG_CAUGHT_UP(3014, Level.INFO, "A relay has caught up with the log and accepts turns.",
			"Nothing; if it takes seconds, check the store.", FieldName.OFFSET, FieldName.MILLISECONDS),

	/**
	 * Written once for each key and reason, as long as both are in a bounded cache.
	 */
	UPSTREAM_UNUSABLE(3015, Level.WARN, "A record in the list of upstreams is invalid.",
			"Find out which process wrote the record; the other upstreams are not affected.", FieldName.UPSTREAM,
			FieldName.REASON),

	/**
	 * Written when a relay that started has received the uncommitted reservations of a
	 * majority, or when these can no longer matter.
	 */
	RELAY_COMPLETE(3016, Level.INFO, "A started relay has received all turns that may be missing from the log.",
			"Nothing; if it takes as long as the retention of a route, all relays had failed before.", FieldName.COUNT),

	/**
	 * Written at most once a second; {@code MILLISECONDS} is the longest timer delay
	 * since the previous notice, {@code EVENT} the event that took the longest in the
	 * interval of that timer. {@code COLLECTOR_MILLISECONDS} is the time of collections
	 * since it was last written, and omitted if the delay is short.
	 */
	RELAY_LATE(3017, Level.WARN,
			"The timers of a relay run late, so delays that it attributes to other processes may originate in the relay.",
			"If it repeats, compare the delay with the longest event and the time of collections; if both are short, find out what uses the processor of its VM, or give the relay more processor time.",
			FieldName.MILLISECONDS, FieldName.EVENT, FieldName.EVENT_MILLISECONDS, FieldName.COLLECTOR_MILLISECONDS),

	/**
	 * Written for each caller; {@code COUNT} is the number of connections of callers.
	 */
	CALLER_SHED(3018, Level.WARN,
			"Callers hold all memory or descriptors that a relay has for them, so it refuses the one that holds most, or closes the connection that has been without a request, or whose caller has not read its response, the longest. Nothing of a refused request was passed on.",
			"Compare the collection HELD_BYTES with its bound, and the number of connections with the descriptors of the VM; if ordinary callers reach them, add relays, otherwise find out who sends costly requests.",
			FieldName.REASON, FieldName.COUNT),

	/**
	 * Written when the claim is read back from the log as valid.
	 */
	PROGRAM_CLAIMED(4001, Level.DEBUG, "A program has a home in this epoch.", "Nothing.", FieldName.PROGRAM,
			FieldName.VM, FieldName.EPOCH, FieldName.OFFSET),

	/**
	 * Written when a higher epoch is read for a program that this process owned.
	 */
	CLAIM_LOST(4002, Level.WARN, "A claim to a program was superseded, so this process no longer acts for the program.",
			"Nothing, unless it is frequent: then check for VMs that pause.", FieldName.PROGRAM, FieldName.VM,
			FieldName.EPOCH, FieldName.OFFSET, FieldName.REASON),

	/**
	 * Written by the new home; {@code TOKENS} is the number of tokens prefilled or
	 * imported.
	 */
	PROGRAM_MOVED(4003, Level.INFO, "A program continues on another upstream.", "Nothing.", FieldName.PROGRAM,
			FieldName.VM, FieldName.EPOCH, FieldName.REASON, FieldName.TOKENS),

	/**
	 * Written when the append of a turn is acknowledged.
	 */
	TURN_COMMITTED(4004, Level.DEBUG, "A turn is committed to the log.", "Nothing.", FieldName.PROGRAM, FieldName.CALL,
			FieldName.EPOCH, FieldName.OFFSET),

	/**
	 * Written once for each turn that waits for the log service.
	 */
	TURN_PENDING(4005, Level.WARN,
			"The log service is unavailable, so a turn is held in memory and will be written later.",
			"Restore the log service; see the 7xxx events.", FieldName.PROGRAM, FieldName.CALL, FieldName.EPOCH,
			FieldName.REASON),

	/**
	 * Written by each reader of the log that skips the turn.
	 */
	TURN_SUPERSEDED(4006, Level.WARN, "A turn has an outdated epoch and is not part of the history.",
			"Nothing, unless it is frequent: then check for VMs that pause.", FieldName.PROGRAM, FieldName.CALL,
			FieldName.EPOCH, FieldName.OFFSET, FieldName.REASON),

	/**
	 * Written by the home, for every reason.
	 */
	PROGRAM_ENDED(4007, Level.DEBUG, "A program ended after the counted calls, and its resources are released.",
			"Nothing.", FieldName.PROGRAM, FieldName.REASON, FieldName.COUNT, FieldName.MILLISECONDS),

	/**
	 * Written by the home, before {@link #PROGRAM_ENDED}.
	 */
	PROGRAM_IDLE_LIMIT(4008, Level.INFO, "A program exceeded its idle timeout and was ended with its children.",
			"If such programs are legitimate, raise the idle timeout of the group.", FieldName.PROGRAM, FieldName.LIMIT,
			FieldName.COUNT),

	/**
	 * {@code COUNT} is the number of the first turn that differs.
	 */
	HISTORY_MISMATCH(4009, Level.WARN,
			"A caller sent a history that differs from the recorded one, and the call was rejected.",
			"Notify the owner of the caller: two clients may use the same program name.", FieldName.PROGRAM,
			FieldName.CALL, FieldName.COUNT, FieldName.REASON),

	/**
	 * {@code COUNT} is the expected call number.
	 */
	CALL_OUT_OF_ORDER(4010, Level.WARN, "The number of a call is not the next one of its program.",
			"Notify the owner of the caller if it is frequent.", FieldName.PROGRAM, FieldName.CALL, FieldName.COUNT,
			FieldName.REASON),

	/**
	 * Written for rejections that have no separate code.
	 */
	CALL_REFUSED(4011, Level.INFO, "A call was rejected for the given reason.",
			"Act on the reason; the metric of rejected calls shows the rate.", FieldName.GROUP, FieldName.PROGRAM,
			FieldName.CALL, FieldName.SERVICE, FieldName.VERDICT, FieldName.REASON),

	/**
	 * Written when an attempt ends without a response and without proof that it was not
	 * executed.
	 */
	OUTCOME_UNKNOWN(4012, Level.WARN, "A call may have been executed, and its response is lost.",
			"Check with the service or the upstream before sending the call under a new key.", FieldName.GROUP,
			FieldName.PROGRAM, FieldName.CALL, FieldName.ATTEMPT, FieldName.VM, FieldName.SERVICE, FieldName.REASON),

	/**
	 * Written when the response of the first execution is still available.
	 */
	DUPLICATE_ANSWERED(4013, Level.DEBUG,
			"A repeated call was answered with the recorded response of its first execution.", "Nothing.",
			FieldName.GROUP, FieldName.PROGRAM, FieldName.CALL, FieldName.KEY, FieldName.OFFSET),

	/**
	 * Written when the digests of the two bodies differ.
	 */
	KEY_REUSED(4014, Level.WARN, "An idempotency key was reused with a different body, and the call was rejected.",
			"Notify the owner of the caller: each request needs its own key.", FieldName.GROUP, FieldName.PROGRAM,
			FieldName.CALL, FieldName.KEY),

	/**
	 * Written on the crash that reaches the limit, and on each later attempt.
	 */
	REQUEST_STOPPED(4015, Level.ERROR, "A request reached the limit of upstream crashes and is not executed again.",
			"Examine the request and the log of the engine.", FieldName.GROUP, FieldName.PROGRAM, FieldName.CALL,
			FieldName.KEY, FieldName.COUNT, FieldName.LIMIT),

	/**
	 * Written when a call is removed from the queue because its deadline has passed.
	 */
	DEADLINE_PASSED(4016, Level.INFO,
			"The deadline of a call passed while it was queued, and the call was not executed.",
			"If it is frequent, add upstreams or raise the deadline.", FieldName.GROUP, FieldName.PROGRAM,
			FieldName.CALL, FieldName.MILLISECONDS),

	/**
	 * Written for each attempt that ends without a complete response; {@code COUNT} is
	 * the number of forwarded events.
	 */
	ATTEMPT_FAILED(4017, Level.WARN,
			"An attempt at an upstream failed; the request is retried only if its route allows it.",
			"Search for the upstream: if many of its attempts fail, remove it. If `failures` grows for one `digest`, its request makes upstreams fail.",
			FieldName.REQUEST, FieldName.UPSTREAM, FieldName.ATTEMPT, FieldName.REASON, FieldName.COUNT,
			FieldName.MILLISECONDS, FieldName.DIGEST, FieldName.FAILURES),

	/**
	 * Written for each request that a relay rejects.
	 */
	REQUEST_REFUSED(4018, Level.WARN, "A relay rejected or abandoned a request.",
			"Act on the reason; the verdict states whether the caller may retry.", FieldName.REQUEST, FieldName.PROGRAM,
			FieldName.ROUTE, FieldName.REASON, FieldName.VERDICT, FieldName.UPSTREAM, FieldName.ATTEMPT,
			FieldName.MILLISECONDS, FieldName.TOKENS, FieldName.LIMIT, FieldName.DIGEST, FieldName.FAILURES),

	/**
	 * Written when a caller closes its connection before the end of the response;
	 * {@code COUNT} is the number of forwarded events.
	 */
	CALLER_LEFT(4019, Level.INFO,
			"A caller disconnected before the end of the response, and its request was cancelled.",
			"Nothing; a high rate indicates slow responses.", FieldName.REQUEST, FieldName.PROGRAM, FieldName.UPSTREAM,
			FieldName.COUNT, FieldName.MILLISECONDS),

	/**
	 * Written at the end of each response from an upstream; {@code MILLISECONDS} is the
	 * time since the request was received.
	 */
	REQUEST_ANSWERED(4020, Level.INFO, "An upstream answered a request.", "Nothing.", FieldName.REQUEST,
			FieldName.PROGRAM, FieldName.ROUTE, FieldName.UPSTREAM, FieldName.ATTEMPT, FieldName.STATUS,
			FieldName.COUNT, FieldName.MILLISECONDS),

	/**
	 * Written when a relay aborts a stream that has started.
	 */
	STREAM_BROKEN_OFF(4021, Level.WARN, "A stream was aborted; the caller can detect that it is incomplete.",
			"Search for the attempts of the request.", FieldName.REQUEST, FieldName.PROGRAM, FieldName.UPSTREAM,
			FieldName.ATTEMPT, FieldName.COUNT, FieldName.MILLISECONDS, FieldName.REASON),

	/**
	 * Written for each attempt; {@code VERSION} is the version of the active route table
	 * and {@code MILLISECONDS} the time since the request was received.
	 */
	REQUEST_PLACED(4022, Level.INFO, "A request was sent to the best-ranked upstream.", "Nothing.", FieldName.REQUEST,
			FieldName.PROGRAM, FieldName.UPSTREAM, FieldName.ATTEMPT, FieldName.VERSION, FieldName.CANDIDATES,
			FieldName.MILLISECONDS, FieldName.TOKENS, FieldName.LIMIT, FieldName.DIGEST, FieldName.FAILURES,
			FieldName.SOFTWARE, FieldName.RESUMED, FieldName.LAST_EVENT),

	/**
	 * Written for each turn that was not admitted by the replicas of its program;
	 * {@code REASON} is what decided, {@code COUNT} the number of other relays that had
	 * responded.
	 */
	TURN_DECIDED(4023, Level.INFO,
			"The log or a majority of relays decided whether a turn fits the budget of its program; turns admitted by its replicas are reported by E4022 only.",
			"Nothing; MAJORITY means that the log was unreachable, LOG that two replicas did not respond.",
			FieldName.REQUEST, FieldName.PROGRAM, FieldName.REASON, FieldName.COUNT, FieldName.VERDICT,
			FieldName.TOKENS, FieldName.LIMIT, FieldName.MILLISECONDS),

	/**
	 * Written for each request that a quota rejects; {@code LIMIT} is the active rate per
	 * second and burst, {@code VERSION} the version of the route table, {@code ADDRESS}
	 * the coordinator of the team and {@code COUNT} the number of requests of the team
	 * that wait at this relay.
	 */
	QUOTA_REFUSED(4024, Level.WARN, "The quota of a team rejected a request, or no coordinator of the team responded.",
			"Compare the limit and its version with the intended quota; check the connectivity and timer delays of the coordinator.",
			FieldName.REQUEST, FieldName.GROUP, FieldName.REASON, FieldName.LIMIT, FieldName.VERSION, FieldName.ADDRESS,
			FieldName.COUNT, FieldName.MILLISECONDS),

	/**
	 * Written for requests whose write was delayed by 100 ms or more;
	 * {@code MILLISECONDS} is the time since the upstream was selected.
	 */
	REQUEST_WRITTEN_LATE(4025, Level.WARN,
			"A request was written to its upstream long after the upstream was selected.",
			"Look for E3017 of the relay: its event loop is behind; without it, check the network to the upstream.",
			FieldName.REQUEST, FieldName.PROGRAM, FieldName.UPSTREAM, FieldName.ATTEMPT, FieldName.MILLISECONDS),

	/**
	 * Written for each program that is refused for load; {@code LIMIT} is the admitted
	 * share of its class and {@code WAIT} the expected wait for a place, both as of at
	 * most 20 ms before.
	 */
	PROGRAM_REFUSED(4026, Level.WARN, "A service has no room for another program, and its first turn was rejected.",
			"If it lasts, add upstreams; if one team causes it, lower its quota.", FieldName.REQUEST, FieldName.PROGRAM,
			FieldName.GROUP, FieldName.ROUTE, FieldName.PRIORITY, FieldName.LIMIT, FieldName.WAIT,
			FieldName.RETRY_AFTER, FieldName.MILLISECONDS),

	/**
	 * The text of a turn was not found.
	 */
	TEXT_NOT_FOUND(4027, Level.WARN, "The log does not have the text of a turn at any of its locations.",
			"Compare the age of its newest record with the retention of the log; a turn that continues it is refused.",
			FieldName.REQUEST, FieldName.COUNT, FieldName.MILLISECONDS),

	/**
	 * {@code REQUEST} is the request that the response names, {@code EXPECTED} the one in
	 * flight or the last one of the connection, {@code STATUS} the status of the response
	 * and {@code COUNT} the number of requests that the connection has carried.
	 */
	RESPONSE_UNMATCHED(4028, Level.WARN, "An upstream sent a response, or bytes, that belong to no request in flight.",
			"If it is frequent, examine the upstream: it responds more than once or to no request. "
					+ "The request is the one that the response names, if its whole head was read.",
			FieldName.REQUEST, FieldName.EXPECTED, FieldName.UPSTREAM, FieldName.REASON, FieldName.STATUS,
			FieldName.COUNT),

	/**
	 * {@code REASON} is the first part of the response that is not valid.
	 */
	RESPONSE_INVALID(4029, Level.WARN,
			"An upstream sent a response that is not valid by HTTP, and nothing of it was passed on.",
			"If it repeats, examine the upstream; the attempt has failed with UNREADABLE.", FieldName.REQUEST,
			FieldName.UPSTREAM, FieldName.REASON),

	/**
	 * Written once for each group and period.
	 */
	BUDGET_EXHAUSTED(5001, Level.WARN,
			"A group has exhausted its budget, and its calls are rejected until the next period.",
			"Raise the budget if the usage is legitimate.", FieldName.GROUP, FieldName.COUNT, FieldName.LIMIT),

	/**
	 * Written when the reservation is read back from the log as valid.
	 */
	SLICE_RESERVED(5002, Level.DEBUG, "A slice of a group's budget is reserved for this entry.", "Nothing.",
			FieldName.GROUP, FieldName.TOKENS, FieldName.OFFSET, FieldName.LIMIT),

	/**
	 * Written for released slices and for those of lost entries.
	 */
	SLICE_RETURNED(5003, Level.DEBUG, "The unused part of a slice was returned to the budget of its group.", "Nothing.",
			FieldName.GROUP, FieldName.TOKENS, FieldName.OFFSET, FieldName.VM, FieldName.REASON),

	/**
	 * Written when a queue becomes full, not for each rejected call.
	 */
	QUEUE_FULL(5004, Level.WARN, "A queue is full, and further calls are rejected without being executed.",
			"Add upstreams, or reduce the rate of the callers.", FieldName.GROUP, FieldName.COUNT, FieldName.LIMIT),

	/**
	 * Written by the sidecar when the connections to the engine end without responses.
	 */
	ENGINE_CRASHED(6001, Level.ERROR, "An engine terminated while the counted requests were in flight.",
			"Examine the log of the engine; check whether REQUEST_STOPPED follows.", FieldName.VM, FieldName.ZONE,
			FieldName.MODEL, FieldName.INCARNATION, FieldName.REASON, FieldName.COUNT),

	/**
	 * Written by the sidecar when the engine responds after a crash.
	 */
	ENGINE_BACK(6002, Level.INFO, "An engine accepts work again, with an empty cache.", "Nothing.", FieldName.VM,
			FieldName.ZONE, FieldName.MODEL, FieldName.INCARNATION, FieldName.MILLISECONDS),

	/**
	 * Written by the sidecar when the engine has confirmed the release.
	 */
	KV_RELEASED(6003, Level.DEBUG, "Engine memory reserved for a program is released.", "Nothing.", FieldName.VM,
			FieldName.PROGRAM, FieldName.TOKENS, FieldName.REASON),

	/**
	 * Written by the sidecar, which enforces leases by its local clock.
	 */
	KV_LEASE_ENDED(6004, Level.WARN, "A lease on engine memory expired, and the memory is released.",
			"Nothing, unless it is frequent: then check for entries that fail.", FieldName.VM, FieldName.PROGRAM,
			FieldName.TOKENS, FieldName.LIMIT),

	/**
	 * Written when the sidecar or the engine rejects a command, before it has any effect.
	 */
	ORDER_REFUSED(6005, Level.WARN, "A command to an engine had an outdated fencing token and was rejected.",
			"Nothing: the command of the newer owner is in effect.", FieldName.VM, FieldName.MODEL, FieldName.EPOCH,
			FieldName.REASON),

	/**
	 * Written when a response reports fewer cached tokens than estimated.
	 */
	CACHE_BELIEF_CORRECTED(6006, Level.DEBUG,
			"A prefix assumed to be cached was not, and the cache estimate was corrected.",
			"Nothing, unless it is frequent: then check the memory of the engine.", FieldName.VM, FieldName.PROGRAM,
			FieldName.TOKENS, FieldName.REASON),

	/**
	 * Written once for each outage and stream.
	 */
	LOG_UNAVAILABLE(7001, Level.ERROR, "The log service does not respond.",
			"Restore the log service; work that needs no append continues.", FieldName.STREAM, FieldName.REASON,
			FieldName.MILLISECONDS),

	/**
	 * Written once at the end of an outage.
	 */
	LOG_BACK(7002, Level.INFO, "The log service responds again, and the counted pending records are being written.",
			"Nothing.", FieldName.STREAM, FieldName.OFFSET, FieldName.MILLISECONDS, FieldName.COUNT),

	/**
	 * Written when an append times out or its connection is reset.
	 */
	APPEND_UNKNOWN(7003, Level.WARN,
			"The response to an append is lost; the log is read to determine whether the record was appended.",
			"Nothing, unless it is frequent: then check the network to the log service.", FieldName.STREAM,
			FieldName.OFFSET, FieldName.REASON),

	/**
	 * Written when the first retained offset of the log is later than the required one.
	 */
	RETENTION_GAP(7004, Level.ERROR, "Records that are still needed have been deleted by the retention of the log.",
			"Increase the retention; calls that depend on the records are rejected as possibly executed.",
			FieldName.STREAM, FieldName.OFFSET, FieldName.COUNT, FieldName.REASON),

	/**
	 * Written once for each such record, which the reader skips.
	 */
	LOG_RECORD_UNREADABLE(7005, Level.ERROR, "A record of the log can't be decoded and is treated as empty.",
			"Look for another writer to the stream, or for a process of an incompatible newer version.",
			FieldName.STREAM, FieldName.OFFSET, FieldName.REASON),

	/**
	 * Written once for each read of the log after which this relay adopted entries of
	 * other relays.
	 */
	ENTRIES_ADOPTED(7006, Level.WARN,
			"Entries of other relays did not appear in the log in time, so this relay appends them too.",
			"If it persists, look for a relay that can't append, or for a slow store.", FieldName.COUNT),

	/**
	 * Written at most once a second; {@code COUNT} is the number of entries since the
	 * previous event.
	 */
	ENTRIES_GIVEN_UP(7007, Level.ERROR,
			"The append queue of a relay is full, so it dropped the oldest entries, which may exist only on other relays.",
			"Restore the store; entries that no other relay appends are lost.", FieldName.COUNT);

	private final int number;

	private final Level level;

	private final String meaning;

	private final String action;

	private final Set<FieldName> fields;

	NoticeCode(int number, Level level, String meaning, String action, FieldName... fields) {
		this.number = number;
		this.level = level;
		this.meaning = meaning;
		this.action = action;
		Set<FieldName> names = EnumSet.noneOf(FieldName.class);
		names.addAll(Arrays.asList(fields));
		this.fields = Collections.unmodifiableSet(names);
	}

	/**
	 * Returns the number of the event.
	 * @return a number of four digits
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the severity of the event.
	 * @return the level at which it is logged
	 */
	public Level level() {
		return this.level;
	}

	/**
	 * Returns the range to which the event belongs.
	 * @return the range of the number
	 */
	public Range range() {
		return Range.of(this.number);
	}

	/**
	 * Returns what the event means.
	 * @return one sentence
	 */
	public String meaning() {
		return this.meaning;
	}

	/**
	 * Returns the recommended action of an operator.
	 * @return one sentence
	 */
	public String action() {
		return this.action;
	}

	/**
	 * Returns the fields that a notice of this code may carry.
	 * @return the names, in the order of their declaration; unmodifiable
	 */
	public Set<FieldName> fields() {
		return this.fields;
	}

	/**
	 * Returns a notice of this code with a field.
	 * @param name the name of the field
	 * @param value the value, written by its {@code toString}
	 * @return the notice, to which further fields can be added
	 * @throws IllegalArgumentException if this code does not list the field
	 */
	public Notice with(FieldName name, Object value) {
		return withoutFields().with(name, value);
	}

	/**
	 * Returns a notice of this code without fields.
	 * @return the notice
	 */
	public Notice withoutFields() {
		return new Notice(this, List.of());
	}

	/**
	 * Severity of an event. Safe for use by several threads.
	 */
	public enum Level {

		/**
		 * Data is lost or work is rejected until an operator acts.
		 */
		ERROR,

		/**
		 * A fault that recovers without an operator, or that a caller has caused.
		 */
		WARN,

		/**
		 * A state change that operators monitor.
		 */
		INFO,

		/**
		 * A step of normal operation, too frequent to be logged by default.
		 */
		DEBUG

	}

	/**
	 * Subject of a block of a thousand numbers; events of one range share a logger. Safe
	 * for use by several threads.
	 */
	public enum Range {

		/**
		 * The lifecycle of a process.
		 */
		PROCESS(1),

		/**
		 * Configuration that operators publish.
		 */
		CONFIGURATION(2),

		/**
		 * Membership and the connections between processes.
		 */
		MEMBERSHIP(3),

		/**
		 * Programs and their calls.
		 */
		PROGRAMS(4),

		/**
		 * Budgets and shares.
		 */
		BUDGETS(5),

		/**
		 * Engines and their memory.
		 */
		ENGINES(6),

		/**
		 * The log service.
		 */
		LOG_SERVICE(7);

		private static final int SIZE = 1000;

		private final int thousand;

		Range(int thousand) {
			this.thousand = thousand;
		}

		/**
		 * Returns the name of this range in logger names.
		 * @return the name in lower case
		 */
		public String label() {
			return name().toLowerCase(Locale.ROOT);
		}

		private static Range of(int number) {
			for (Range range : values()) {
				if (range.thousand == number / SIZE) {
					return range;
				}
			}
			throw new IllegalArgumentException("no range contains the number " + number);
		}

	}

}
