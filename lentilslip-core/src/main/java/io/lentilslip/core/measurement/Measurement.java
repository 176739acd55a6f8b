package io.lentilslip.core.measurement;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.lentilslip.core.identity.GroupName;

/**
 * Something that was measured. Reducers emit measurements as effects; they carry times
 * that were computed from the events, never read from a clock. Implementations are
 * immutable and safe for use by several threads.
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
	 * @param serviceClass the class of service, as named by the configuration
	 * @param outcome how the call ended
	 * @param latency the time from the call's arrival to the end of its answer
	 * @param queueing the part of the latency that the call waited for an upstream
	 * @param firstToken the time from the call's arrival to the first token; empty if
	 * there was none
	 * @param promptTokens the tokens of the prompt, cached ones included
	 * @param cachedTokens the tokens of the prompt that the engine had cached
	 * @param generatedTokens the tokens of the answer
	 */
	record CallEnded(GroupName group, String serviceClass, Outcome outcome, Duration latency, Duration queueing,
			Optional<Duration> firstToken, long promptTokens, long cachedTokens,
			long generatedTokens) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param group the group the call is charged to
		 * @param serviceClass the class of service, as named by the configuration
		 * @param outcome how the call ended
		 * @param latency the time from the call's arrival to the end of its answer
		 * @param queueing the part of the latency that the call waited for an upstream
		 * @param firstToken the time from the call's arrival to the first token; empty if
		 * there was none
		 * @param promptTokens the tokens of the prompt, cached ones included
		 * @param cachedTokens the tokens of the prompt that the engine had cached
		 * @param generatedTokens the tokens of the answer
		 * @throws IllegalArgumentException if a time or a number is negative
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
			 * The caller has the whole answer.
			 */
			ANSWERED,

			/**
			 * The caller has the answer of an earlier run of the same key.
			 */
			ANSWERED_FROM_RECORD,

			/**
			 * The upstream ran the call and answered with an error.
			 */
			UPSTREAM_ERROR,

			/**
			 * The caller left before the end of the answer.
			 */
			CALLER_LEFT,

			/**
			 * The call may have run, and its answer is lost.
			 */
			UNKNOWN,

			/**
			 * The call was taken out of the queue without running.
			 */
			NOT_RUN

		}

	}

	/**
	 * A program has ended.
	 *
	 * @param group the group the program is charged to
	 * @param latency the time from the arrival of its first call to the end of its last
	 * answer
	 * @param calls the number of its calls that ran
	 * @param reason why it ended
	 */
	record ProgramEnded(GroupName group, Duration latency, long calls, Reason reason) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param group the group the program is charged to
		 * @param latency the time from the arrival of its first call to the end of its
		 * last answer
		 * @param calls the number of its calls that ran
		 * @param reason why it ended
		 * @throws IllegalArgumentException if a time or a number is negative
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
			 * It was silent for longer than its limit.
			 */
			IDLE_LIMIT,

			/**
			 * It made as many calls as it may.
			 */
			CALL_LIMIT,

			/**
			 * The program that started it ended.
			 */
			PARENT_ENDED,

			/**
			 * Its group is gone from the configuration.
			 */
			GROUP_REMOVED

		}

	}

	/**
	 * A call was refused without running.
	 *
	 * @param group the group of the caller; empty if the caller is not known
	 * @param reason why it was refused
	 */
	record CallRefused(Optional<GroupName> group, Reason reason) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param group the group of the caller; empty if the caller is not known
		 * @param reason why it was refused
		 */
		public CallRefused {
			Objects.requireNonNull(group, "group");
			Objects.requireNonNull(reason, "reason");
		}

		/**
		 * Why a call was refused. Safe for use by several threads.
		 */
		public enum Reason implements Label {

			/**
			 * The caller's key is not known, or does not belong to the named group.
			 */
			UNAUTHORIZED,

			/**
			 * The request cannot be read.
			 */
			MALFORMED,

			/**
			 * The body or the headers are larger than allowed.
			 */
			TOO_LARGE,

			/**
			 * No such model, service or program.
			 */
			UNKNOWN_TARGET,

			/**
			 * The number is not the next one of the program.
			 */
			OUT_OF_ORDER,

			/**
			 * The history that the caller sent differs from the one held.
			 */
			HISTORY_MISMATCH,

			/**
			 * The idempotency key came with another body before.
			 */
			KEY_REUSED,

			/**
			 * The program has ended, or met one of its limits.
			 */
			PROGRAM_ENDED,

			/**
			 * The group's budget is used.
			 */
			BUDGET_EXHAUSTED,

			/**
			 * The queue is full.
			 */
			QUEUE_FULL,

			/**
			 * The group is over its share while the site is overloaded.
			 */
			SHED,

			/**
			 * The deadline has passed or cannot be met.
			 */
			DEADLINE,

			/**
			 * No upstream can take the call.
			 */
			NO_UPSTREAM,

			/**
			 * The log service is unavailable, and the call may not run without it.
			 */
			LOG_UNAVAILABLE,

			/**
			 * An earlier attempt may have run.
			 */
			OUTCOME_UNKNOWN,

			/**
			 * The request crashed as many upstreams as it may.
			 */
			STOPPED_AFTER_CRASHES,

			/**
			 * The process waits for its first configuration.
			 */
			NOT_CONFIGURED,

			/**
			 * The process is draining.
			 */
			DRAINING

		}

	}

	/**
	 * The number of calls that wait in a queue.
	 *
	 * @param kind which queue
	 * @param length the number of calls
	 */
	record QueueLength(Kind kind, long length) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param kind which queue
		 * @param length the number of calls
		 * @throws IllegalArgumentException if the length is negative
		 */
		public QueueLength {
			Objects.requireNonNull(kind, "kind");
			requireNotNegative(length, "length");
		}

		/**
		 * Where calls wait. Safe for use by several threads.
		 */
		public enum Kind implements Label {

			/**
			 * At the entry, for a sidecar.
			 */
			ENTRY,

			/**
			 * At the sidecar, for its upstream.
			 */
			SIDECAR,

			/**
			 * For an earlier call of the same program.
			 */
			PROGRAM

		}

	}

	/**
	 * The engine memory that is held for programs.
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
	 * How much of its budget a group has used in the present period.
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
	 * How full a queue, map or cache is.
	 *
	 * @param name the collection
	 * @param size the number of its elements
	 * @param bound the most elements it may have
	 */
	record CollectionSize(CollectionName name, long size, long bound) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param name the collection
		 * @param size the number of its elements
		 * @param bound the most elements it may have
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
	 * @param outcome what is known of its effect
	 * @param duration the time from its sending to its answer, or to giving up
	 */
	record LogAppend(Outcome outcome, Duration duration) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param outcome what is known of its effect
		 * @param duration the time from its sending to its answer, or to giving up
		 * @throws IllegalArgumentException if the time is negative
		 */
		public LogAppend {
			Objects.requireNonNull(outcome, "outcome");
			requireNotNegative(duration, "duration");
		}

		/**
		 * What is known of an append's effect. Safe for use by several threads.
		 */
		public enum Outcome implements Label {

			/**
			 * The record has an offset.
			 */
			APPENDED,

			/**
			 * The log service refused the record.
			 */
			REFUSED,

			/**
			 * The answer is lost.
			 */
			UNKNOWN

		}

	}

	/**
	 * A request of a route has ended at a relay.
	 *
	 * @param route the name of the route
	 * @param outcome how it ended
	 * @param latency the time from the reading of the request to the end of its answer
	 * @param firstEvent the time to the first event of a stream; empty if there was none
	 */
	record RouteRequestEnded(String route, Outcome outcome, Duration latency,
			Optional<Duration> firstEvent) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param route the name of the route
		 * @param outcome how it ended
		 * @param latency the time from the reading of the request to the end of its
		 * answer
		 * @param firstEvent the time to the first event of a stream; empty if there was
		 * none
		 * @throws IllegalArgumentException if a time is negative
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
			 * With an upstream's whole answer.
			 */
			ANSWERED,

			/**
			 * With an answer of the relay's own.
			 */
			REFUSED,

			/**
			 * With a stream that was broken off.
			 */
			BROKEN_OFF,

			/**
			 * With a caller that left.
			 */
			CALLER_LEFT

		}

	}

	/**
	 * The links of this process to its peers of one kind.
	 *
	 * @param kind the kind of the peers
	 * @param up the number of links that are up
	 * @param known the number of peers that should be linked
	 */
	record LinkState(Kind kind, long up, long known) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param kind the kind of the peers
		 * @param up the number of links that are up
		 * @param known the number of peers that should be linked
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
			 * Processes beside upstreams.
			 */
			SIDECAR

		}

	}

	/**
	 * Retries since the measurement before.
	 *
	 * @param operation what was tried again
	 * @param attempts the number of further attempts that were made
	 * @param denied the number of further attempts that the retry budget did not allow
	 */
	record Retries(Operation operation, long attempts, long denied) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param operation what was tried again
		 * @param attempts the number of further attempts that were made
		 * @param denied the number of further attempts that the retry budget did not
		 * allow
		 * @throws IllegalArgumentException if a number is negative
		 */
		public Retries {
			Objects.requireNonNull(operation, "operation");
			requireNotNegative(attempts, "attempts");
			requireNotNegative(denied, "denied");
		}

		/**
		 * What is tried again. Safe for use by several threads.
		 */
		public enum Operation implements Label {

			/**
			 * A call to an upstream.
			 */
			CALL,

			/**
			 * A second copy of a repeatable call, sent before the first has answered.
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
	 * A timer of a relay has run.
	 *
	 * @param late by how much it ran later than planned
	 */
	record TimerRan(Duration late) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param late by how much it ran later than planned
		 * @throws IllegalArgumentException if the time is negative
		 */
		public TimerRan {
			requireNotNegative(late, "late");
		}

	}

	/**
	 * A relay no longer keeps entries that waited for the store.
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
	 * What a relay has sent or taken since the measurement before.
	 *
	 * @param kind which way it went
	 * @param bytes the number of bytes
	 * @param messages the number of messages on links, or of records of the store
	 */
	record RelayTraffic(Kind kind, long bytes, long messages) implements Measurement {

		/**
		 * Creates a measurement.
		 * @param kind which way it went
		 * @param bytes the number of bytes
		 * @param messages the number of messages on links, or of records of the store
		 * @throws IllegalArgumentException if a number is negative
		 */
		public RelayTraffic {
			Objects.requireNonNull(kind, "kind");
			requireNotNegative(bytes, "bytes");
			requireNotNegative(messages, "messages");
		}

		/**
		 * Which way it went. Safe for use by several threads.
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
	 * The log has shown entries whose request and kind it had shown before.
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
			 * A turn's reservation, which also stands there twice if the turn contended
			 * or was sent again.
			 */
			RESERVED,

			/**
			 * A turn's end, which is written once and copied otherwise.
			 */
			SETTLED,

			/**
			 * An upstream that broke off, which also stands there twice if a second one
			 * did.
			 */
			BLAMED

		}

	}

}
