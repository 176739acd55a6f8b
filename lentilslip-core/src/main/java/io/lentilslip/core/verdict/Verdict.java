package io.lentilslip.core.verdict;

/**
 * What is known of a request's execution by an upstream. Each layer returns the verdict
 * it got from the layer below it, or a weaker one; no layer may turn
 * {@link #MAY_HAVE_RUN} into {@link #NOT_RUN}. Safe for use by several threads.
 */
public enum Verdict {

	/**
	 * The request did not run and will not run by this attempt or an earlier one.
	 */
	NOT_RUN("not_run"),

	/**
	 * The request may have run, or may still be running.
	 */
	MAY_HAVE_RUN("may_have_run"),

	/**
	 * The request ran to its end.
	 */
	RAN("ran");

	private final String label;

	Verdict(String label) {
		this.label = label;
	}

	/**
	 * Returns the text by which callers see this verdict.
	 * @return the text of the field {@code verdict}
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns the verdict over two attempts of one request.
	 * @param other the verdict of the other attempt
	 * @return {@link #RAN} if one ran, {@link #NOT_RUN} only if neither may have run
	 */
	public Verdict combine(Verdict other) {
		return (this.compareTo(other) >= 0) ? this : other;
	}

}
