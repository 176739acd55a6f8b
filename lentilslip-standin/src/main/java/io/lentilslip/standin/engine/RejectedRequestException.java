package io.lentilslip.standin.engine;

/**
 * A request that the engine refuses without running any of it. Immutable.
 */
final class RejectedRequestException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final int status;

	private final String code;

	/**
	 * Creates a refusal.
	 * @param status the HTTP status
	 * @param code the short name of the error
	 * @param message what was wrong and what was expected
	 */
	RejectedRequestException(int status, String code, String message) {
		super(message, null, false, false);
		this.status = status;
		this.code = code;
	}

	/**
	 * Returns a refusal of a request that does not keep to the protocol.
	 * @param message what was wrong and what was expected
	 * @return the refusal
	 */
	static RejectedRequestException invalid(String message) {
		return new RejectedRequestException(400, "invalid_request", message);
	}

	/**
	 * Returns the HTTP status.
	 * @return the status
	 */
	int status() {
		return this.status;
	}

	/**
	 * Returns the short name of the error.
	 * @return the code
	 */
	String code() {
		return this.code;
	}

}
