package io.lentilslip.core.notice;

import java.util.Locale;

/**
 * Name of a field of a notice. A name has the same meaning in every notice, so that
 * operators can search for one value across all codes. Safe for use by several threads.
 */
public enum FieldName {

	/**
	 * The process that wrote the notice; added to every notice when it is written.
	 */
	PROCESS,

	/**
	 * The role of a process, such as entry or sidecar.
	 */
	ROLE,

	/**
	 * The VM that the event concerns.
	 */
	VM,

	/**
	 * An availability zone.
	 */
	ZONE,

	/**
	 * A network address with its port.
	 */
	ADDRESS,

	/**
	 * An incarnation of a process on its VM.
	 */
	INCARNATION,

	/**
	 * A group.
	 */
	GROUP,

	/**
	 * A program with its group.
	 */
	PROGRAM,

	/**
	 * The number of a call within its program.
	 */
	CALL,

	/**
	 * A digest of an idempotency key, never the key itself.
	 */
	KEY,

	/**
	 * A plain service.
	 */
	SERVICE,

	/**
	 * A model.
	 */
	MODEL,

	/**
	 * The epoch of a claim, which is also its fencing token.
	 */
	EPOCH,

	/**
	 * The number of an attempt of a call.
	 */
	ATTEMPT,

	/**
	 * Whether a request was executed, as far as known.
	 */
	VERDICT,

	/**
	 * An offset of the log.
	 */
	OFFSET,

	/**
	 * A stream of the log.
	 */
	STREAM,

	/**
	 * A version of the configuration.
	 */
	VERSION,

	/**
	 * The software version of an upstream.
	 */
	SOFTWARE,

	/**
	 * The request that started the stream that another request resumes.
	 */
	RESUMED,

	/**
	 * The number of the last event of a stream that the caller has.
	 */
	LAST_EVENT,

	/**
	 * The cause of the event.
	 */
	REASON,

	/**
	 * A configuration or settings file.
	 */
	FILE,

	/**
	 * A line number in that file.
	 */
	LINE,

	/**
	 * The expected value.
	 */
	EXPECTED,

	/**
	 * A number of items, as described by the code.
	 */
	COUNT,

	/**
	 * The limit that was reached or that applies.
	 */
	LIMIT,

	/**
	 * A number of tokens.
	 */
	TOKENS,

	/**
	 * A duration in milliseconds.
	 */
	MILLISECONDS,

	/**
	 * A kind of event of a relay.
	 */
	EVENT,

	/**
	 * How long an event took, in milliseconds.
	 */
	EVENT_MILLISECONDS,

	/**
	 * The time of garbage collections in milliseconds.
	 */
	COLLECTOR_MILLISECONDS,

	/**
	 * A request, by the id that its caller assigned.
	 */
	REQUEST,

	/**
	 * An upstream, by the id under which the platform lists it.
	 */
	UPSTREAM,

	/**
	 * A route.
	 */
	ROUTE,

	/**
	 * An HTTP status code.
	 */
	STATUS,

	/**
	 * The ranked upstreams of a request, the best first, each with its cost, the inputs
	 * of the cost, and the age of its load report.
	 */
	CANDIDATES,

	/**
	 * A priority; 0 is the highest.
	 */
	PRIORITY,

	/**
	 * An expected wait in milliseconds.
	 */
	WAIT,

	/**
	 * The delay in milliseconds after which a caller may retry.
	 */
	RETRY_AFTER,

	/**
	 * The digests of a request that its retries share: that of its target, and that of
	 * its target, caller and content.
	 */
	DIGEST,

	/**
	 * The number of upstream incarnations that are known to have failed while they ran a
	 * request with one of the same digests.
	 */
	FAILURES;

	/**
	 * Returns the key of the field in log lines and in JSON.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
