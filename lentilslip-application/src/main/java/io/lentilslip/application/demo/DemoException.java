package io.lentilslip.application.demo;

/**
 * A reason for which the demonstration failed, in words for its user. Immutable and safe
 * for use by several threads.
 */
public final class DemoException extends Exception {

	private static final long serialVersionUID = 1;

	/**
	 * Creates an exception.
	 * @param message what failed
	 */
	DemoException(String message) {
		super(message);
	}

	/**
	 * Creates an exception.
	 * @param message what failed
	 * @param cause why
	 */
	DemoException(String message, Throwable cause) {
		super(message, cause);
	}

}
