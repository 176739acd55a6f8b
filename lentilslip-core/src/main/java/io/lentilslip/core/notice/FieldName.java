package io.lentilslip.core.notice;

import java.util.Locale;

/**
 * The name of a field of a notice. The same name means the same thing in every notice, so
 * that operators can search for one value over all codes. Safe for use by several
 * threads.
 */
public enum FieldName {

	/**
	 * The process that wrote the notice; added to every notice on its way out.
	 */
	PROCESS,

	/**
	 * The role of a process, such as entry or sidecar.
	 */
	ROLE,

	/**
	 * The VM that the notice is about.
	 */
	VM,

	/**
	 * An availability zone.
	 */
	ZONE,

	/**
	 * An address and port.
	 */
	ADDRESS,

	/**
	 * One life of a process on its VM.
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
	 * The number of a call in its program.
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
	 * An epoch of a claim, which also serves as fencing number.
	 */
	EPOCH,

	/**
	 * An attempt of a call.
	 */
	ATTEMPT,

	/**
	 * What is known of a request's execution.
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
	 * Why it happened.
	 */
	REASON,

	/**
	 * A file of the configuration or the settings.
	 */
	FILE,

	/**
	 * A line of that file.
	 */
	LINE,

	/**
	 * What should have been there.
	 */
	EXPECTED,

	/**
	 * How many.
	 */
	COUNT,

	/**
	 * The bound that was met.
	 */
	LIMIT,

	/**
	 * A number of tokens.
	 */
	TOKENS,

	/**
	 * A span of time in milliseconds.
	 */
	MILLISECONDS,

	/**
	 * One attempt of a caller, by the id that the caller gave it.
	 */
	REQUEST,

	/**
	 * One life of an upstream, by the id that the platform lists.
	 */
	UPSTREAM,

	/**
	 * A route.
	 */
	ROUTE,

	/**
	 * A status of HTTP.
	 */
	STATUS,

	/**
	 * The upstreams that a request could have gone to, the best first, each with what
	 * made it better or worse and how old that knowledge was.
	 */
	CANDIDATES;

	/**
	 * Returns the text that stands before the value in a line and in JSON.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
