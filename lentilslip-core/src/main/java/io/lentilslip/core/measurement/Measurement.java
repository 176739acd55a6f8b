package io.lentilslip.core.measurement;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.lentilslip.core.identity.GroupName;

/**
 * Immutable measurement that a reducer emits as an effect. Durations are computed from
 * the times of events, never read from a clock. Implementations are safe for use by
 * several threads.
 */
public sealed interface Measurement {

	private static void requireNotNegative(long value, String name) {
		if (value < 0) {
			throw new IllegalArgumentException(name + " is negative: " + value);
		}
	}

	private static void requireNotNegative(Duration value, String name) {
		if (value.isNegative()) {
			throw new IllegalArgumentException(name + " is negative: " + value);
		}
	}

	/**
	 * A call that was accepted has ended.
	 *
	 * @param group the group the call is charged to
	 * @param serviceClass the service class, by its configured name
	 * @param outcome how the call ended
	 * @param latency the time from the call's arrival to the end of its response
	 * @param queueing the part of the latency that the call waited for an upstream
	 * @param firstToken the time from the call's arrival to the first token; empty if
	 * there was none
	 * @param promptTokens the tokens of the prompt, including cached ones
	 * @param cachedTokens the tokens of the prompt that were cached by the engine
	 * @param generatedTokens the generated tokens
	 */
	record CallEnded(GroupName group, String serviceClass, Outcome outcome, Duration latency, Duration queueing,
			Optional<Duration> firstToken, long promptTokens, long cachedTokens,
			long generatedTokens) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param group the group the call is charged to
		 * @param serviceClass the service class, by its configured name
		 * @param outcome how the call ended
		 * @param latency the time from the call's arrival to the end of its response
		 * @param queueing the part of the latency that the call waited for an upstream
		 * @param firstToken the time from the call's arrival to the first token; empty if
		 * there was none
		 * @param promptTokens the tokens of the prompt, including cached ones
		 * @param cachedTokens the tokens of the prompt that were cached by the engine
		 * @param generatedTokens the generated tokens
		 * @throws IllegalArgumentException if a duration or a number is negative
		 */
		public CallEnded {
			Objects.requireNonNull(group, "group");
			Objects.requireNonNull(serviceClass, "serviceClass");
			Objects.requireNonNull(outcome, "outcome");
			requireNotNegative(latency, "latency");
			requireNotNegative(queueing, "queueing");
			firstToken.ifPresent((time) -> requireNotNegative(time, "firstToken"));
			requireNotNegative(promptTokens, "promptTokens");
			requireNotNegative(cachedTokens, "cachedTokens");
			requireNotNegative(generatedTokens, "generatedTokens");
		}

		/**
		 * How an accepted call ended. Safe for use by several threads.
		 */
		public enum Outcome implements Label {

			/**
			 * The caller received the complete response.
			 */
			ANSWERED,

			/**
			 * The caller received the recorded response of an earlier call with the same
			 * key.
			 */
			ANSWERED_FROM_RECORD,

			/**
			 * The upstream executed the call and returned an error.
			 */
			UPSTREAM_ERROR,

			/**
			 * The caller disconnected before the end of the response.
			 */
			CALLER_LEFT,

			/**
			 * The call may have been executed, and its response is lost.
			 */
			UNKNOWN,

			/**
			 * The call was removed from the queue without being executed.
			 */
			NOT_RUN

		}

	}

	/**
	 * A program has ended.
	 *
	 * @param group the group the program is charged to
	 * @param latency the time from the arrival of its first call to the end of its last
	 * response
	 * @param calls the number of its executed calls
	 * @param reason why it ended
	 */
	record ProgramEnded(GroupName group, Duration latency, long calls, Reason reason) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param group the group the program is charged to
		 * @param latency the time from the arrival of its first call to the end of its
		 * last response
		 * @param calls the number of its executed calls
		 * @param reason why it ended
		 * @throws IllegalArgumentException if a duration or a number is negative
		 */
		public ProgramEnded {
			Objects.requireNonNull(group, "group");
			Objects.requireNonNull(reason, "reason");
			requireNotNegative(latency, "latency");
			requireNotNegative(calls, "calls");
		}

		/**
		 * Why a program ended. Safe for use by several threads.
		 */
		public enum Reason implements Label {

			/**
			 * A caller ended it.
			 */
			ENDED_BY_CALLER,

			/**
			 * It exceeded its idle timeout.
			 */
			IDLE_LIMIT,

			/**
			 * It reached its limit of calls.
			 */
			CALL_LIMIT,

			/**
			 * The program that started it ended.
			 */
			PARENT_ENDED,

			/**
			 * Its group was removed from the configuration.
			 */
			GROUP_REMOVED

		}

	}

	/**
	 * A call was rejected without being executed.
	 *
	 * @param group the group of the caller; empty if the caller is unknown
	 * @param reason why it was rejected
	 */
	record CallRefused(Optional<GroupName> group, Reason reason) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param group the group of the caller; empty if the caller is unknown
		 * @param reason why it was rejected
		 */
		public CallRefused {
			Objects.requireNonNull(group, "group");
			Objects.requireNonNull(reason, "reason");
		}

		/**
		 * Why a call was rejected. Safe for use by several threads.
		 */
		public enum Reason implements Label {

			/**
			 * The caller's key is unknown or does not belong to the given group.
			 */
			UNAUTHORIZED,

			/**
			 * The request is malformed.
			 */
			MALFORMED,

			/**
			 * The body or the headers exceed their size limit.
			 */
			TOO_LARGE,

			/**
			 * The model, service or program does not exist.
			 */
			UNKNOWN_TARGET,

			/**
			 * The call number is not the next one of the program.
			 */
			OUT_OF_ORDER,

			/**
			 * The history sent by the caller differs from the recorded one.
			 */
			HISTORY_MISMATCH,

			/**
			 * The idempotency key was used with a different body.
			 */
			KEY_REUSED,

			/**
			 * The program has ended or reached one of its limits.
			 */
			PROGRAM_ENDED,

			/**
			 * The budget of the group is exhausted.
			 */
			BUDGET_EXHAUSTED,

			/**
			 * The queue is full.
			 */
			QUEUE_FULL,

			/**
			 * The group exceeds its share while the site is overloaded.
			 */
			SHED,

			/**
			 * The deadline has passed or cannot be met.
			 */
			DEADLINE,

			/**
			 * No upstream can accept the call.
			 */
			NO_UPSTREAM,

			/**
			 * The log service is unavailable, and the call requires it.
			 */
			LOG_UNAVAILABLE,

			/**
			 * An earlier attempt may have been executed.
			 */
			OUTCOME_UNKNOWN,

			/**
			 * The request reached the limit of upstream crashes.
			 */
			STOPPED_AFTER_CRASHES,

			/**
			 * The process has no configuration yet.
			 */
			NOT_CONFIGURED,

			/**
			 * The process is draining.
			 */
			DRAINING

		}

	}

	/**
	 * The number of calls in a queue.
	 *
	 * @param kind the queue
	 * @param length the number of calls
	 */
	record QueueLength(Kind kind, long length) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param kind the queue
		 * @param length the number of calls
		 * @throws IllegalArgumentException if the length is negative
		 */
		public QueueLength {
			Objects.requireNonNull(kind, "kind");
			requireNotNegative(length, "length");
		}

		/**
		 * The queue in which calls wait. Safe for use by several threads.
		 */
		public enum Kind implements Label {

			/**
			 * At the entry, waiting for a sidecar.
			 */
			ENTRY,

			/**
			 * At the sidecar, waiting for its upstream.
			 */
			SIDECAR,

			/**
			 * Waiting for an earlier call of the same program.
			 */
			PROGRAM

		}

	}

	/**
	 * The engine memory that is reserved for programs.
	 *
	 * @param tokens the number of tokens whose KV cache is held
	 */
	record HeldMemory(long tokens) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param tokens the number of tokens whose KV cache is held
		 * @throws IllegalArgumentException if the number is negative
		 */
		public HeldMemory {
			requireNotNegative(tokens, "tokens");
		}

	}

	/**
	 * The part of its budget that a group has used in the current period.
	 *
	 * @param group the group
	 * @param used the tokens used or reserved
	 * @param limit the budget in tokens
	 */
	record BudgetUse(GroupName group, long used, long limit) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param group the group
		 * @param used the tokens used or reserved
		 * @param limit the budget in tokens
		 * @throws IllegalArgumentException if a number is negative
		 */
		public BudgetUse {
			Objects.requireNonNull(group, "group");
			requireNotNegative(used, "used");
			requireNotNegative(limit, "limit");
		}

	}

	/**
	 * The size of a queue, map or cache.
	 *
	 * @param name the collection
	 * @param size the number of its elements
	 * @param bound its capacity
	 */
	record CollectionSize(CollectionName name, long size, long bound) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param name the collection
		 * @param size the number of its elements
		 * @param bound its capacity
		 * @throws IllegalArgumentException if a number is negative
		 */
		public CollectionSize {
			Objects.requireNonNull(name, "name");
			requireNotNegative(size, "size");
			requireNotNegative(bound, "bound");
		}

	}

	/**
	 * An append to the log has ended.
	 *
	 * @param outcome whether the record was appended
	 * @param duration the time from the request to its response or timeout
	 */
	record LogAppend(Outcome outcome, Duration duration) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param outcome whether the record was appended
		 * @param duration the time from the request to its response or timeout
		 * @throws IllegalArgumentException if the duration is negative
		 */
		public LogAppend {
			Objects.requireNonNull(outcome, "outcome");
			requireNotNegative(duration, "duration");
		}

		/**
		 * Whether an append took effect. Safe for use by several threads.
		 */
		public enum Outcome implements Label {

			/**
			 * The record was appended at an offset.
			 */
			APPENDED,

			/**
			 * The log service rejected the record.
			 */
			REFUSED,

			/**
			 * The response is lost.
			 */
			UNKNOWN

		}

	}

	/**
	 * A request of a route has ended at a relay.
	 *
	 * @param route the name of the route
	 * @param outcome how it ended
	 * @param latency the time from the receipt of the request to the end of its response
	 * @param firstEvent the time to the first event of a stream; empty if there was none
	 */
	record RouteRequestEnded(String route, Outcome outcome, Duration latency,
			Optional<Duration> firstEvent) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param route the name of the route
		 * @param outcome how it ended
		 * @param latency the time from the receipt of the request to the end of its
		 * response
		 * @param firstEvent the time to the first event of a stream; empty if there was
		 * none
		 * @throws IllegalArgumentException if a duration is negative
		 */
		public RouteRequestEnded {
			Objects.requireNonNull(route, "route");
			Objects.requireNonNull(outcome, "outcome");
			requireNotNegative(latency, "latency");
			firstEvent.ifPresent((time) -> requireNotNegative(time, "firstEvent"));
		}

		/**
		 * How a request ended. Safe for use by several threads.
		 */
		public enum Outcome implements Label {

			/**
			 * With the complete response of an upstream.
			 */
			ANSWERED,

			/**
			 * With a rejection by the relay.
			 */
			REFUSED,

			/**
			 * With an aborted stream.
			 */
			BROKEN_OFF,

			/**
			 * With the disconnection of the caller.
			 */
			CALLER_LEFT

		}

	}

	/**
	 * A relay refused a request of a route.
	 *
	 * @param route the name of the route
	 * @param reason the reason, in lower case
	 */
	record RouteRequestRefused(String route, String reason) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param route the name of the route
		 * @param reason the reason, in lower case
		 */
		public RouteRequestRefused {
			Objects.requireNonNull(route, "route");
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * The admission of new programs to a service, as estimated by a relay.
	 *
	 * @param service the name of the service
	 * @param fraction the fraction of new programs that is admitted
	 * @param expectedWait the expected wait for a place at an upstream
	 */
	record ServiceAdmission(String service, double fraction, Duration expectedWait) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param service the name of the service
		 * @param fraction the fraction of new programs that is admitted
		 * @param expectedWait the expected wait for a place at an upstream
		 * @throws IllegalArgumentException if the wait is negative
		 */
		public ServiceAdmission {
			Objects.requireNonNull(service, "service");
			requireNotNegative(expectedWait, "expectedWait");
		}

	}

	/**
	 * The connections of this process to its peers of one role.
	 *
	 * @param kind the role of the peers
	 * @param up the number of established connections
	 * @param known the number of known peers
	 */
	record LinkState(Kind kind, long up, long known) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param kind the role of the peers
		 * @param up the number of established connections
		 * @param known the number of known peers
		 * @throws IllegalArgumentException if a number is negative
		 */
		public LinkState {
			Objects.requireNonNull(kind, "kind");
			requireNotNegative(up, "up");
			requireNotNegative(known, "known");
		}

		/**
		 * The role of the peers. Safe for use by several threads.
		 */
		public enum Kind implements Label {

			/**
			 * Processes on entry VMs.
			 */
			ENTRY,

			/**
			 * Relays.
			 */
			RELAY,

			/**
			 * Sidecar processes of upstreams.
			 */
			SIDECAR

		}

	}

	/**
	 * Retries since the previous measurement.
	 *
	 * @param operation the retried operation
	 * @param attempts the number of retries
	 * @param denied the number of retries denied by the retry budget
	 */
	record Retries(Operation operation, long attempts, long denied) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param operation the retried operation
		 * @param attempts the number of retries
		 * @param denied the number of retries denied by the retry budget
		 * @throws IllegalArgumentException if a number is negative
		 */
		public Retries {
			Objects.requireNonNull(operation, "operation");
			requireNotNegative(attempts, "attempts");
			requireNotNegative(denied, "denied");
		}

		/**
		 * The retried operation. Safe for use by several threads.
		 */
		public enum Operation implements Label {

			/**
			 * A call to an upstream.
			 */
			CALL,

			/**
			 * A hedged request: a second copy of a repeatable call, sent before the first
			 * has responded.
			 */
			HEDGE,

			/**
			 * An append to the log.
			 */
			APPEND,

			/**
			 * A connection to a peer.
			 */
			CONNECTION

		}

	}

	/**
	 * A relay has appended the text of a turn again, since its record was about to
	 * expire.
	 *
	 * @param bytes the size of the text
	 */
	record TurnRenewed(int bytes) implements Measurement {

	}

	/**
	 * A relay has looked up the software version of a stream that a caller resumes.
	 *
	 * @param source how the version is known
	 */
	record StreamResumed(Source source) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param source how the version is known
		 */
		public StreamResumed {
			Objects.requireNonNull(source, "source");
		}

		/**
		 * How the software version of a stream is known. Safe for use by several threads.
		 */
		public enum Source implements Label {

			/**
			 * From the ledger, as sent by this relay or read from the log.
			 */
			LEDGER,

			/**
			 * From another relay.
			 */
			PEER,

			/**
			 * As the only version that the service has had.
			 */
			ONLY_VERSION,

			/**
			 * Known, but no upstream of the version is left; the request is refused.
			 */
			GONE,

			/**
			 * Not known; the request is refused.
			 */
			UNKNOWN

		}

	}

	/**
	 * A timer of a relay has fired.
	 *
	 * @param delay the delay past its due time
	 */
	record TimerRan(Duration delay) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param delay the delay past its due time
		 * @throws IllegalArgumentException if the duration is negative
		 */
		public TimerRan {
			requireNotNegative(delay, "delay");
		}

	}

	/**
	 * A relay has handled events of one kind.
	 *
	 * @param kind the name of the type of the events
	 * @param count the number of events
	 * @param time the time that they took
	 */
	record EventsHandled(String kind, long count, Duration time) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param kind the name of the type of the events
		 * @param count the number of events
		 * @param time the time that they took
		 * @throws IllegalArgumentException if the number or the duration is negative
		 */
		public EventsHandled {
			Objects.requireNonNull(kind, "kind");
			requireNotNegative(count, "count");
			requireNotNegative(time, "time");
		}

	}

	/**
	 * A relay wrote a request to an upstream.
	 *
	 * @param delay the time since the upstream was selected
	 */
	record RequestWritten(Duration delay) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param delay the time since the upstream was selected
		 * @throws IllegalArgumentException if the duration is negative
		 */
		public RequestWritten {
			requireNotNegative(delay, "delay");
		}

	}

	/**
	 * A relay received data from an upstream that belongs to no request in flight.
	 *
	 * @param kind the kind of data
	 */
	record ResponseUnmatched(Kind kind) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param kind the kind of data
		 */
		public ResponseUnmatched {
			Objects.requireNonNull(kind, "kind");
		}

		/**
		 * The kind of data. Safe for use by several threads.
		 */
		public enum Kind implements Label {

			/**
			 * A response to an earlier request of the connection.
			 */
			REPEATED,

			/**
			 * A response to a request that the connection has not carried.
			 */
			OTHER_REQUEST,

			/**
			 * A response that names no request.
			 */
			NO_REQUEST,

			/**
			 * Bytes that were read together with the end of a response.
			 */
			AFTER_RESPONSE,

			/**
			 * Bytes on an idle connection.
			 */
			IDLE

		}

	}

	/**
	 * A relay refused a caller or closed its connection for lack of a resource.
	 *
	 * @param cause the resource
	 */
	record CallerShed(Cause cause) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param cause the resource
		 */
		public CallerShed {
			Objects.requireNonNull(cause, "cause");
		}

		/**
		 * The resource that is used up. Safe for use by several threads.
		 */
		public enum Cause implements Label {

			/**
			 * The memory for what callers send and don't read.
			 */
			MEMORY,

			/**
			 * The descriptors for connections of callers.
			 */
			CONNECTIONS

		}

	}

	/**
	 * A relay dropped entries that were queued for the store.
	 *
	 * @param entries the number of entries
	 */
	record EntriesGivenUp(long entries) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param entries the number of entries
		 * @throws IllegalArgumentException if the number is negative
		 */
		public EntriesGivenUp {
			requireNotNegative(entries, "entries");
		}

	}

	/**
	 * Data that a relay has sent or received since the previous measurement.
	 *
	 * @param kind the direction
	 * @param bytes the number of bytes
	 * @param messages the number of messages on connections, or of records in the store
	 */
	record RelayTraffic(Kind kind, long bytes, long messages) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param kind the direction
		 * @param bytes the number of bytes
		 * @param messages the number of messages on connections, or of records in the
		 * store
		 * @throws IllegalArgumentException if a number is negative
		 */
		public RelayTraffic {
			Objects.requireNonNull(kind, "kind");
			requireNotNegative(bytes, "bytes");
			requireNotNegative(messages, "messages");
		}

		/**
		 * The direction of traffic. Safe for use by several threads.
		 */
		public enum Kind implements Label {

			/**
			 * To other relays.
			 */
			LINKS_OUT,

			/**
			 * From other relays.
			 */
			LINKS_IN,

			/**
			 * To the store.
			 */
			STORE_APPENDED,

			/**
			 * From the store.
			 */
			STORE_READ

		}

	}

	/**
	 * Entries read from the log whose request and kind were read before.
	 *
	 * @param kind the kind of the entries
	 * @param entries the number of entries
	 */
	record LogCopies(Kind kind, long entries) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param kind the kind of the entries
		 * @param entries the number of entries
		 * @throws IllegalArgumentException if the number is negative
		 */
		public LogCopies {
			Objects.requireNonNull(kind, "kind");
			requireNotNegative(entries, "entries");
		}

		/**
		 * The kind of an entry. Safe for use by several threads.
		 */
		public enum Kind implements Label {

			/**
			 * The reservation of a turn; also duplicated if the turn was decided through
			 * the log or retried.
			 */
			RESERVED,

			/**
			 * The settlement of a turn; duplicated only if another relay appended a copy.
			 */
			SETTLED,

			/**
			 * The failure of an upstream during a request; also duplicated if a second
			 * upstream failed during it.
			 */
			BLAMED

		}

	}

}
