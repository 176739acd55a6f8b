package io.lentilslip.verification.capacity;

/**
 * A number that nobody has measured here and the target does not give. Whatever depends
 * on one is an estimate. Safe for use by several threads.
 */
enum Assumption {

	/**
	 * The bytes of a token's text.
	 */
	TOKEN_BYTES(4, "bytes of a token's text"),

	/**
	 * The hours that a program lives.
	 */
	PROGRAM_HOURS(1, "hours that a program lives, on average"),

	/**
	 * The tokens of a program's history.
	 */
	HISTORY_TOKENS(100_000, "tokens of history, on average over the programs under way"),

	/**
	 * The turns of a program.
	 */
	TURNS(60, "turns of a program, on average over the programs under way"),

	/**
	 * The bytes that carry one message on a link.
	 */
	PACKET_BYTES(44, "bytes that carry one link message: 40 of TCP and IPv4, 4 of the frame"),

	/**
	 * The appends that the log takes.
	 */
	LOG_APPENDS(400, "appends a second that the log takes from all (\"several hundred\")"),

	/**
	 * The milliseconds of an append.
	 */
	APPEND_MILLISECONDS(10, "milliseconds of one append"),

	/**
	 * The tokens that an accelerator prefills.
	 */
	PREFILL_TOKENS(5000, "tokens a second that one accelerator prefills beside its usual work");

	private final double value;

	private final String meaning;

	Assumption(double value, String meaning) {
		this.value = value;
		this.meaning = meaning;
	}

	double value() {
		return this.value;
	}

	String meaning() {
		return this.meaning;
	}

}
