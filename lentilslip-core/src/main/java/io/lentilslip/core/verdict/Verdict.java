package io.lentilslip.core.verdict;

/**
 * What is known of the execution of a request by an upstream. Each layer returns the
 * verdict of the layer below it or a weaker one; no layer may change
 * {@link #MAY_HAVE_RUN} to {@link #NOT_RUN}. Thread-safe.
 */
public enum Verdict {

	/**
	 * The request has not run and will not run in this attempt or an earlier one.
	 */
	NOT_RUN("not_run"),

	/**
	 * The request may have run, or may still be running.
	 */
	MAY_HAVE_RUN("may_have_run"),

	/**
	 * The request ran to completion.
	 */
	RAN("ran");

	private final String label;

	Verdict(String label) {
		this.label = label;
	}

	/**
	 * Returns the representation of this verdict in responses.
	 * @return the text of the field {@code verdict}
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns the combined verdict of two attempts of one request.
	 * @param other the verdict of the other attempt
	 * @return {@link #RAN} if one ran, {@link #NOT_RUN} only if neither may have run
	 */
	public Verdict combine(Verdict other) {
		return (this.compareTo(other) >= 0) ? this : other;
	}

}
