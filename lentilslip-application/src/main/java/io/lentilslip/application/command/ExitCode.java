package io.lentilslip.application.command;

/**
 * How a command ended, as scripts see it. The values are part of the operators' interface
 * and don't change. Safe for use by several threads.
 */
public enum ExitCode {

	/**
	 * Everything that was asked for was done.
	 */
	OK(0),

	/**
	 * The command failed in another way than those below.
	 */
	FAILED(1),

	/**
	 * The command line is wrong; nothing was done.
	 */
	USAGE(2),

	/**
	 * A configuration or settings were refused; nothing came into force.
	 */
	REFUSED(3),

	/**
	 * A service, a process or an address that the command needs can't be used; nothing
	 * was changed.
	 */
	UNAVAILABLE(4),

	/**
	 * The command may have taken effect, or may not.
	 */
	OUTCOME_UNKNOWN(5),

	/**
	 * Another operator's version took effect first, and this one never will.
	 */
	LOST(6),

	/**
	 * A second signal ended a process with work under way.
	 */
	CUT_OFF(7);

	private final int value;

	ExitCode(int value) {
		this.value = value;
	}

	/**
	 * Returns the exit code of the process.
	 * @return the number
	 */
	public int value() {
		return this.value;
	}

}
