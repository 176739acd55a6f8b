package io.lentilslip.wire.codec;

/**
 * A problem on its way from a nested field to the codec, which returns it as a value. It
 * never leaves this package. It has no stack trace, since a peer that sends bad messages
 * would otherwise choose how much time is spent on them. Safe for use by several threads.
 */
final class InvalidMessageException extends RuntimeException {

	private final transient CodecProblem problem;

	/**
	 * Creates an exception.
	 * @param problem the problem
	 */
	InvalidMessageException(CodecProblem problem) {
		super(problem.toString(), null, false, false);
		this.problem = problem;
	}

	/**
	 * Returns the problem.
	 * @return the problem
	 */
	CodecProblem problem() {
		return this.problem;
	}

}
