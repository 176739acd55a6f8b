package io.lentilslip.core.notice;

import java.util.Arrays;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * The catalogue of numbered events. The comment of a code tells those who emit it when
 * that is; its meaning and action are for operators. A number is never used again for
 * another event, and its thousands tell the {@link Range}. The page
 * {@code docs/EVENTS.md} has a row for each code. Safe for use by several threads.
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
	SETTINGS_REFUSED(1002, Level.ERROR, "The settings have an error, and the process does not start.",
			"Correct the settings at the named line and start again.", FieldName.FILE, FieldName.LINE, FieldName.REASON,
			FieldName.EXPECTED),

	/**
	 * Written when the first configuration is in force and the port is open.
	 */
	PROCESS_READY(1003, Level.INFO, "The process takes work.", "Nothing.", FieldName.ROLE, FieldName.VM,
			FieldName.ADDRESS, FieldName.MILLISECONDS),

	/**
	 * Written at the first stop signal or order to drain; {@code COUNT} is of requests
	 * under way.
	 */
	DRAINING_BEGAN(1004, Level.INFO, "The process takes no new work and lets requests under way end.",
			"Wait for the end of draining before the VM is taken away.", FieldName.ROLE, FieldName.VM, FieldName.COUNT,
			FieldName.LIMIT, FieldName.REASON),

	/**
	 * Written when nothing is under way or the limit is met, whichever is first.
	 */
	DRAINING_ENDED(1005, Level.INFO,
			"Draining is over, and the process ends; the count is of requests that were still under way.",
			"If the count is not zero, raise the limit of draining.", FieldName.ROLE, FieldName.VM, FieldName.COUNT,
			FieldName.MILLISECONDS, FieldName.REASON),

	/**
	 * Written at a stop signal that arrives while draining.
	 */
	SECOND_STOP_SIGNAL(1006, Level.WARN, "A second stop signal came while draining, and the process ends at once.",
			"Send one signal and wait; the calls counted here were cut off.", FieldName.ROLE, FieldName.VM,
			FieldName.COUNT),

	/**
	 * Written when the reducer or the runner of its effects throws, right before the
	 * exit.
	 */
	PROCESS_FAILED(1007, Level.ERROR,
			"A fault in the program itself ended the process; its state could not be trusted.",
			"Report the fault with this line; another life of the process takes over.", FieldName.ROLE, FieldName.VM,
			FieldName.REASON),

	/**
	 * Written when the mailbox begins to refuse and at most once a second after that.
	 */
	MAILBOX_FULL(1008, Level.WARN, "More work arrives than the process can decide on, and the rest is refused.",
			"Lower the load, or add entries and upstreams.", FieldName.ROLE, FieldName.VM, FieldName.COUNT,
			FieldName.LIMIT),

	/**
	 * Written when a rule of a relay throws; the exchange that the event belongs to ends.
	 */
	DECISION_FAILED(1009, Level.ERROR, "A fault in the program itself broke off one decision; the relay goes on.",
			"Report the fault with this line and the lines before it.", FieldName.CALL, FieldName.REASON),

	/**
	 * Written with the first event after a second in which more of one kind came;
	 * {@code KEY} is the number of that kind.
	 */
	EVENTS_HELD_BACK(1010, Level.WARN,
			"More events of one kind came in a second than are written; the rest was counted.",
			"Read the metric of events; whatever repeats that often is one cause.", FieldName.KEY, FieldName.COUNT,
			FieldName.LIMIT),

	/**
	 * Written when lines are taken again after some were dropped.
	 */
	LINES_DROPPED(1011, Level.WARN, "The reader of the log was too slow, and lines were dropped in place of waiting.",
			"Check what reads the process's standard output.", FieldName.COUNT),

	/**
	 * Written by each process that puts a version in force; {@code COUNT} is of groups.
	 */
	CONFIGURATION_ACCEPTED(2001, Level.INFO, "A configuration is in force in this process.", "Nothing.",
			FieldName.VERSION, FieldName.OFFSET, FieldName.COUNT),

	/**
	 * Written once for each error of a published configuration.
	 */
	CONFIGURATION_REFUSED(2002, Level.ERROR, "A configuration is refused whole, and the one before it stays in force.",
			"Correct the named line and publish again.", FieldName.VERSION, FieldName.OFFSET, FieldName.FILE,
			FieldName.LINE, FieldName.REASON, FieldName.EXPECTED),

	/**
	 * Written when a record's base is no longer the newest version.
	 */
	CONFIGURATION_SUPERSEDED(2003, Level.WARN,
			"Another publication from the same base came first, so this one has no effect.",
			"Compare with the version in force and publish again.", FieldName.VERSION, FieldName.OFFSET,
			FieldName.REASON),

	/**
	 * Written when a record's base is a version that was never read.
	 */
	CONFIGURATION_GAP(2004, Level.WARN,
			"Records of the configuration are missing from the log; the newest known version stays in force.",
			"If it does not heal by a version from a peer, publish again.", FieldName.VERSION, FieldName.OFFSET,
			FieldName.REASON),

	/**
	 * Written again after each wait for a first configuration.
	 */
	CONFIGURATION_AWAITED(2005, Level.WARN, "No configuration is known yet, and the process takes no calls.",
			"Check the log service; publish if nothing was ever published.", FieldName.REASON, FieldName.MILLISECONDS),

	/**
	 * Written when a peer's version is newer than any read from the log.
	 */
	CONFIGURATION_FROM_PEER(2006, Level.INFO, "A newer configuration was taken from a peer.", "Nothing.",
			FieldName.VERSION, FieldName.VM),

	/**
	 * Written by a relay for each table that it puts in force; {@code COUNT} is of
	 * routes.
	 */
	ROUTES_ACCEPTED(2007, Level.INFO, "A table of routes is in force in this relay.", "Nothing.", FieldName.VERSION,
			FieldName.COUNT),

	/**
	 * Written each time such a table is read.
	 */
	ROUTES_REFUSED(2008, Level.ERROR,
			"A relay can't put the newest table of routes in force; the one before stays in force as a whole.",
			"Correct what the reason names and publish the table again.", FieldName.REASON),

	/**
	 * Written by the entry when the handshake ends.
	 */
	SIDECAR_LINKED(3001, Level.INFO, "A sidecar is linked to this entry.", "Nothing.", FieldName.VM, FieldName.ZONE,
			FieldName.ADDRESS, FieldName.INCARNATION),

	/**
	 * Written by both ends, each for itself.
	 */
	LINK_LOST(3002, Level.WARN, "The link to a peer is lost; the count is of calls whose outcome it leaves open.",
			"If it does not come back, check the VM and the network between the zones.", FieldName.VM, FieldName.ZONE,
			FieldName.ADDRESS, FieldName.INCARNATION, FieldName.REASON, FieldName.COUNT),

	/**
	 * Written at the first evidence: the VM list, an announcement or a stop of the
	 * sidecar.
	 */
	UPSTREAM_LEAVING(3003, Level.INFO, "An upstream is leaving and receives no new work.", "Nothing.", FieldName.VM,
			FieldName.ZONE, FieldName.INCARNATION, FieldName.REASON),

	/**
	 * Written when a known VM links with an incarnation not seen before.
	 */
	UPSTREAM_REPLACED(3004, Level.INFO,
			"An upstream is back as another incarnation, and what was known of the earlier one is dropped.",
			"Nothing, unless it repeats: then look for what ends the process.", FieldName.VM, FieldName.ZONE,
			FieldName.ADDRESS, FieldName.INCARNATION),

	/**
	 * Written when a message fails its check; {@code COUNT} is of those refused on the
	 * connection.
	 */
	MESSAGE_REFUSED(3005, Level.WARN,
			"A message between processes is forged or unreadable, and its connection is closed.",
			"Check who sends from that address, and that both processes run neighbouring versions.", FieldName.VM,
			FieldName.ADDRESS, FieldName.REASON, FieldName.COUNT),

	/**
	 * Written once for each silence, not for each heartbeat that is missing.
	 */
	HEARTBEAT_LATE(3006, Level.WARN, "A peer's heartbeat is late, so it is passed over for new work.",
			"If it persists, check the VM's load and the network.", FieldName.VM, FieldName.ZONE,
			FieldName.MILLISECONDS),

	/**
	 * Written when the link to another relay is up.
	 */
	PEER_LINKED(3007, Level.INFO, "Another relay is linked to this one.", "Nothing.", FieldName.ADDRESS),

	/**
	 * Written when that link ends.
	 */
	PEER_LOST(3008, Level.WARN, "The link to another relay is lost.",
			"If it does not come back, check the VM and the network between the zones.", FieldName.ADDRESS,
			FieldName.REASON),

	/**
	 * Written when the platform lists an upstream for the first time.
	 */
	UPSTREAM_LISTED(3009, Level.INFO, "An upstream is listed and may be given work.", "Nothing.", FieldName.UPSTREAM,
			FieldName.SERVICE, FieldName.ZONE, FieldName.ADDRESS),

	/**
	 * Written when the platform lists an upstream no longer.
	 */
	UPSTREAM_GONE(3010, Level.INFO, "An upstream is no longer listed and is given no more work.", "Nothing.",
			FieldName.UPSTREAM),

	/**
	 * Written when a relay loses or regains all others and the log.
	 */
	REACH_CHANGED(3011, Level.WARN, "What a relay reaches has changed: the log, only relays, or nothing.",
			"Check the network of its VM.", FieldName.REASON),

	/**
	 * Written when a relay finds that it did not run for a while.
	 */
	RELAY_WOKEN(3012, Level.WARN, "A relay did not run for a while; its turns wait until it has read the log again.",
			"If it repeats, look for what freezes or starves its VM.", FieldName.MILLISECONDS),

	/**
	 * Written when the address of a relay that was not reached for long is dropped.
	 */
	PEER_FORGOTTEN(3013, Level.INFO, "Another relay was out of reach for long, and its address is dropped.",
			"Nothing, if its VM was taken away; else check the network between the two.", FieldName.ADDRESS),

	/**
	 * Written when a relay has read the log up to its end, after its start or a sleep.
	 */
	LOG_CAUGHT_UP(3014, Level.INFO, "A relay has read the log up to its end, and decides on turns.",
			"Nothing; where it takes seconds, look at the store.", FieldName.OFFSET, FieldName.MILLISECONDS),

	/**
	 * Written once for each key and reason, as long as these are remembered.
	 */
	UPSTREAM_UNUSABLE(3015, Level.WARN, "A record of the list of upstreams names none that can be used.",
			"Look for what else writes to that list; the other upstreams are used as before.", FieldName.UPSTREAM,
			FieldName.REASON),

	/**
	 * Written when a relay that started knows what was given without the log, or that it
	 * is over.
	 */
	RELAY_COMPLETE(3016, Level.INFO, "A relay that started has heard of all turns that may stand in no log.",
			"Nothing; where it takes the retention of a route, all relays were lost before.", FieldName.COUNT),

	/**
	 * Written at most once a second; {@code MILLISECONDS} is the largest lateness since
	 * the one before.
	 */
	RELAY_LATE(3017, Level.WARN, "A relay's own timers run late, so what it takes for others' delay may be its own.",
			"If it repeats, look for what starves its VM, or give the relay more of a processor.",
			FieldName.MILLISECONDS),

	/**
	 * Written when the claim is read back from the log as the valid one.
	 */
	PROGRAM_CLAIMED(4001, Level.DEBUG, "A program has a home in this epoch.", "Nothing.", FieldName.PROGRAM,
			FieldName.VM, FieldName.EPOCH, FieldName.OFFSET),

	/**
	 * Written when a higher epoch is read for a program that this process held.
	 */
	CLAIM_LOST(4002, Level.WARN, "A claim to a program was overtaken, so this process stops acting for the program.",
			"Nothing, unless it is frequent: then check for VMs that pause.", FieldName.PROGRAM, FieldName.VM,
			FieldName.EPOCH, FieldName.OFFSET, FieldName.REASON),

	/**
	 * Written by the new home, with the tokens that were prefilled or imported.
	 */
	PROGRAM_MOVED(4003, Level.INFO, "A program continues on another upstream.", "Nothing.", FieldName.PROGRAM,
			FieldName.VM, FieldName.EPOCH, FieldName.REASON, FieldName.TOKENS),

	/**
	 * Written when the append of a turn is acknowledged.
	 */
	TURN_COMMITTED(4004, Level.DEBUG, "A turn is in the log and counts as acknowledged.", "Nothing.", FieldName.PROGRAM,
			FieldName.CALL, FieldName.EPOCH, FieldName.OFFSET),

	/**
	 * Written once for each turn that waits for the log service.
	 */
	TURN_PENDING(4005, Level.WARN,
			"A turn could not be written because the log service is unavailable; it is kept and written later.",
			"Bring the log service back; see the 7xxx events.", FieldName.PROGRAM, FieldName.CALL, FieldName.EPOCH,
			FieldName.REASON),

	/**
	 * Written by each reader of the log that leaves such a turn out.
	 */
	TURN_SUPERSEDED(4006, Level.WARN, "A turn came from an old epoch and is not part of the history.",
			"Nothing, unless it is frequent: then check for VMs that pause.", FieldName.PROGRAM, FieldName.CALL,
			FieldName.EPOCH, FieldName.OFFSET, FieldName.REASON),

	/**
	 * Written by the home, whatever the reason.
	 */
	PROGRAM_ENDED(4007, Level.DEBUG, "A program ended after the counted calls, and what it held is released.",
			"Nothing.", FieldName.PROGRAM, FieldName.REASON, FieldName.COUNT, FieldName.MILLISECONDS),

	/**
	 * Written by the home, before {@link #PROGRAM_ENDED}.
	 */
	PROGRAM_IDLE_LIMIT(4008, Level.INFO,
			"A program was silent for longer than its limit and was ended with its children.",
			"If such programs are wanted, raise the idle limit of the group.", FieldName.PROGRAM, FieldName.LIMIT,
			FieldName.COUNT),

	/**
	 * Written with the number of the first turn that differs as {@code COUNT}.
	 */
	HISTORY_MISMATCH(4009, Level.WARN,
			"A caller sent a history that differs from the one held, and the call was refused.",
			"Tell the caller's owner: two clients may use one program name.", FieldName.PROGRAM, FieldName.CALL,
			FieldName.COUNT, FieldName.REASON),

	/**
	 * Written with the number that was expected as {@code COUNT}.
	 */
	CALL_OUT_OF_ORDER(4010, Level.WARN, "A call came with a number that is not the next one of its program.",
			"Tell the caller's owner if it is frequent.", FieldName.PROGRAM, FieldName.CALL, FieldName.COUNT,
			FieldName.REASON),

	/**
	 * Written for refusals that have no code of their own.
	 */
	CALL_REFUSED(4011, Level.INFO, "A call was refused with the named cause.",
			"Go by the cause; the counter of refusals shows how many.", FieldName.GROUP, FieldName.PROGRAM,
			FieldName.CALL, FieldName.SERVICE, FieldName.VERDICT, FieldName.REASON),

	/**
	 * Written when an attempt ends with neither an answer nor proof that it did not run.
	 */
	OUTCOME_UNKNOWN(4012, Level.WARN, "A call may have run, and its answer is lost.",
			"Ask the service or the upstream itself before the call is sent under a new key.", FieldName.GROUP,
			FieldName.PROGRAM, FieldName.CALL, FieldName.ATTEMPT, FieldName.VM, FieldName.SERVICE, FieldName.REASON),

	/**
	 * Written when the answer of the first run is still held.
	 */
	DUPLICATE_ANSWERED(4013, Level.DEBUG, "A repeated call was answered from the record of its first run.", "Nothing.",
			FieldName.GROUP, FieldName.PROGRAM, FieldName.CALL, FieldName.KEY, FieldName.OFFSET),

	/**
	 * Written when the digests of the two bodies differ.
	 */
	KEY_REUSED(4014, Level.WARN, "An idempotency key came again with another body, and the call was refused.",
			"Tell the caller's owner: each request needs its own key.", FieldName.GROUP, FieldName.PROGRAM,
			FieldName.CALL, FieldName.KEY),

	/**
	 * Written at the crash that meets the limit, and at each later attempt.
	 */
	REQUEST_STOPPED(4015, Level.ERROR, "A request crashed as many upstreams as it may and is not run again.",
			"Look at the request and the engine's own log of the crash.", FieldName.GROUP, FieldName.PROGRAM,
			FieldName.CALL, FieldName.KEY, FieldName.COUNT, FieldName.LIMIT),

	/**
	 * Written when a call is taken out of the queue for its deadline.
	 */
	DEADLINE_PASSED(4016, Level.INFO,
			"A call's deadline passed in the queue, and the call was taken out without running.",
			"If it is frequent, add upstreams or raise the deadline.", FieldName.GROUP, FieldName.PROGRAM,
			FieldName.CALL, FieldName.MILLISECONDS),

	/**
	 * Written for each attempt that ends without a whole answer; {@code COUNT} is of
	 * events passed on.
	 */
	ATTEMPT_FAILED(4017, Level.WARN,
			"An attempt at an upstream failed; the request is sent again only where its route allows it.",
			"Follow the upstream: if many attempts at it fail, take it out.", FieldName.REQUEST, FieldName.UPSTREAM,
			FieldName.ATTEMPT, FieldName.REASON, FieldName.COUNT, FieldName.MILLISECONDS),

	/**
	 * Written for each request that a relay answers itself.
	 */
	REQUEST_REFUSED(4018, Level.WARN, "A relay refused a request or gave it up.",
			"Follow the reason; the verdict tells the caller whether to repeat it.", FieldName.REQUEST,
			FieldName.PROGRAM, FieldName.ROUTE, FieldName.REASON, FieldName.VERDICT, FieldName.UPSTREAM,
			FieldName.ATTEMPT, FieldName.MILLISECONDS, FieldName.TOKENS, FieldName.LIMIT),

	/**
	 * Written when a caller closes its connection before the end of its answer;
	 * {@code COUNT} is of events passed on.
	 */
	CALLER_LEFT(4019, Level.INFO, "A caller left before the end of its answer, and its request was cancelled.",
			"Nothing; many of them point to answers that are late.", FieldName.REQUEST, FieldName.PROGRAM,
			FieldName.UPSTREAM, FieldName.COUNT, FieldName.MILLISECONDS),

	/**
	 * Written at the end of each answer that came from an upstream; {@code MILLISECONDS}
	 * is from the reading of the request.
	 */
	REQUEST_ANSWERED(4020, Level.INFO, "A request was answered by an upstream.", "Nothing.", FieldName.REQUEST,
			FieldName.PROGRAM, FieldName.ROUTE, FieldName.UPSTREAM, FieldName.ATTEMPT, FieldName.STATUS,
			FieldName.COUNT, FieldName.MILLISECONDS),

	/**
	 * Written when a stream that had begun is broken off towards its caller.
	 */
	STREAM_BROKEN_OFF(4021, Level.WARN, "A stream was broken off towards its caller, who sees that it is not whole.",
			"Follow the attempts of the request.", FieldName.REQUEST, FieldName.PROGRAM, FieldName.UPSTREAM,
			FieldName.ATTEMPT, FieldName.COUNT, FieldName.MILLISECONDS, FieldName.REASON),

	/**
	 * Written at each sending; {@code VERSION} is of the routes in force and
	 * {@code MILLISECONDS} from the reading of the request.
	 */
	REQUEST_PLACED(4022, Level.INFO, "A request was sent to the best of the upstreams.", "Nothing.", FieldName.REQUEST,
			FieldName.PROGRAM, FieldName.UPSTREAM, FieldName.ATTEMPT, FieldName.VERSION, FieldName.CANDIDATES,
			FieldName.MILLISECONDS, FieldName.TOKENS, FieldName.LIMIT),

	/**
	 * Written for each turn that a relay did not decide alone; {@code REASON} says who
	 * did, {@code COUNT} how many other relays had answered.
	 */
	TURN_DECIDED(4023, Level.INFO,
			"The log or other relays decided whether a program's budget holds a turn; that its keepers found room is told by E4022.",
			"Nothing; the reason MAJORITY tells that the log was out of reach, LOG that two keepers did not answer.",
			FieldName.REQUEST, FieldName.PROGRAM, FieldName.REASON, FieldName.COUNT, FieldName.VERDICT,
			FieldName.TOKENS, FieldName.LIMIT, FieldName.MILLISECONDS),

	/**
	 * Written for each request that a quota refuses; {@code LIMIT} is the rate a second
	 * and the burst in force, {@code VERSION} that of the routes, {@code ADDRESS} the
	 * relay that counts for the team and {@code COUNT} how many requests of the team wait
	 * here.
	 */
	QUOTA_REFUSED(4024, Level.WARN, "A team's quota refused a request, or no relay that counts for the team answered.",
			"Compare the limit and its version with what the team is to have; see whether that relay is alone or late.",
			FieldName.REQUEST, FieldName.GROUP, FieldName.REASON, FieldName.LIMIT, FieldName.VERSION, FieldName.ADDRESS,
			FieldName.COUNT, FieldName.MILLISECONDS),

	/**
	 * Written once for each group and period.
	 */
	BUDGET_EXHAUSTED(5001, Level.WARN, "A group has used its budget, and its calls are refused until the next period.",
			"Raise the budget, or leave it.", FieldName.GROUP, FieldName.COUNT, FieldName.LIMIT),

	/**
	 * Written when the reservation is read back from the log as valid.
	 */
	SLICE_RESERVED(5002, Level.DEBUG, "A slice of a group's budget is reserved for this entry.", "Nothing.",
			FieldName.GROUP, FieldName.TOKENS, FieldName.OFFSET, FieldName.LIMIT),

	/**
	 * Written for slices that are given back and for those of lost entries.
	 */
	SLICE_RETURNED(5003, Level.DEBUG, "The unused part of a slice is back in the group's budget.", "Nothing.",
			FieldName.GROUP, FieldName.TOKENS, FieldName.OFFSET, FieldName.VM, FieldName.REASON),

	/**
	 * Written when a queue becomes full, not for each call that it refuses.
	 */
	QUEUE_FULL(5004, Level.WARN, "A queue is full, and further calls are refused without running.",
			"Add upstreams, or lower the callers' rate.", FieldName.GROUP, FieldName.COUNT, FieldName.LIMIT),

	/**
	 * Written by the sidecar when the engine's connections end without answers.
	 */
	ENGINE_CRASHED(6001, Level.ERROR, "An engine ended while the counted requests were running.",
			"Look at the engine's own log; see whether REQUEST_STOPPED follows.", FieldName.VM, FieldName.ZONE,
			FieldName.MODEL, FieldName.INCARNATION, FieldName.REASON, FieldName.COUNT),

	/**
	 * Written by the sidecar when the engine answers after a crash.
	 */
	ENGINE_BACK(6002, Level.INFO, "An engine takes work again, with an empty cache.", "Nothing.", FieldName.VM,
			FieldName.ZONE, FieldName.MODEL, FieldName.INCARNATION, FieldName.MILLISECONDS),

	/**
	 * Written by the sidecar when the engine has confirmed the release.
	 */
	KV_RELEASED(6003, Level.DEBUG, "Engine memory held for a program is released.", "Nothing.", FieldName.VM,
			FieldName.PROGRAM, FieldName.TOKENS, FieldName.REASON),

	/**
	 * Written by the sidecar, which enforces leases by its own clock.
	 */
	KV_LEASE_ENDED(6004, Level.WARN, "A lease on engine memory ended without renewal, and the memory is released.",
			"Nothing, unless it is frequent: then check for entries that vanish.", FieldName.VM, FieldName.PROGRAM,
			FieldName.TOKENS, FieldName.LIMIT),

	/**
	 * Written by the sidecar or on the engine's refusal, before anything is done.
	 */
	ORDER_REFUSED(6005, Level.WARN, "An order to an engine carried an old fencing number and was refused.",
			"Nothing: the newer holder's order stands.", FieldName.VM, FieldName.MODEL, FieldName.EPOCH,
			FieldName.REASON),

	/**
	 * Written when an answer reports fewer cached tokens than believed.
	 */
	CACHE_BELIEF_CORRECTED(6006, Level.DEBUG, "A prefix believed to be cached was not, and the belief was corrected.",
			"Nothing, unless it is frequent: then check the engine's memory.", FieldName.VM, FieldName.PROGRAM,
			FieldName.TOKENS, FieldName.REASON),

	/**
	 * Written once for each outage and stream.
	 */
	LOG_UNAVAILABLE(7001, Level.ERROR, "The log service does not answer.",
			"Bring the log service back; work that needs no append goes on.", FieldName.STREAM, FieldName.REASON,
			FieldName.MILLISECONDS),

	/**
	 * Written once at the end of an outage.
	 */
	LOG_BACK(7002, Level.INFO, "The log service answers again, and the counted records that waited are being written.",
			"Nothing.", FieldName.STREAM, FieldName.OFFSET, FieldName.MILLISECONDS, FieldName.COUNT),

	/**
	 * Written when an append times out or its connection is reset.
	 */
	APPEND_UNKNOWN(7003, Level.WARN,
			"The answer to an append is lost; the log is read to learn whether it took effect.",
			"Nothing, unless it is frequent: then check the network to the log service.", FieldName.STREAM,
			FieldName.OFFSET, FieldName.REASON),

	/**
	 * Written when the first offset that the log still has is later than the one needed.
	 */
	RETENTION_GAP(7004, Level.ERROR, "Records that were still needed have passed the retention of the log.",
			"Lengthen the retention; calls that depended on them are refused as possibly run.", FieldName.STREAM,
			FieldName.OFFSET, FieldName.COUNT, FieldName.REASON),

	/**
	 * Written once for each such record; the reader goes on behind it.
	 */
	LOG_RECORD_UNREADABLE(7005, Level.ERROR, "A record of the log can't be decoded and counts as empty.",
			"Look for another writer of the stream, or for a process of a much newer version.", FieldName.STREAM,
			FieldName.OFFSET, FieldName.REASON),

	/**
	 * Written once for each read of the log that left entries of other relays to this
	 * one.
	 */
	ENTRIES_ADOPTED(7006, Level.WARN,
			"The log has not shown entries of other relays in time, so this relay writes them too.",
			"If it persists, look for a relay that can't write, or for a store that is late.", FieldName.COUNT),

	/**
	 * Written at most once a second; {@code COUNT} is of entries since the one before.
	 */
	ENTRIES_GIVEN_UP(7007, Level.ERROR,
			"More entries wait for the store than a relay keeps, so it gave up the oldest, which only others may hold.",
			"Bring the store back; what no other relay writes is lost.", FieldName.COUNT);

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
	 * Returns the number by which operators look the event up.
	 * @return a number of four digits
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns how urgent the event is.
	 * @return the level it is logged at
	 */
	public Level level() {
		return this.level;
	}

	/**
	 * Returns the concept that the event belongs to.
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
	 * Returns what an operator does about the event.
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
	 * Returns a notice of this code that has no fields yet.
	 * @return the notice
	 */
	public Notice withoutFields() {
		return new Notice(this, List.of());
	}

	/**
	 * How urgent an event is. Safe for use by several threads.
	 */
	public enum Level {

		/**
		 * Something is lost or stays refused until an operator acts.
		 */
		ERROR,

		/**
		 * Something went wrong and heals by itself, or is the matter of a caller.
		 */
		WARN,

		/**
		 * A change that operators follow.
		 */
		INFO,

		/**
		 * A step of ordinary work, too frequent to be written by default.
		 */
		DEBUG

	}

	/**
	 * The concept that a thousand of numbers belongs to; events of one range share a
	 * logger. Safe for use by several threads.
	 */
	public enum Range {

		/**
		 * The life of a process.
		 */
		PROCESS(1),

		/**
		 * Configuration that operators publish.
		 */
		CONFIGURATION(2),

		/**
		 * Membership and the links between processes.
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
		 * Returns the word for this range in names of loggers.
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
			throw new IllegalArgumentException("no range holds the number " + number);
		}

	}

}
