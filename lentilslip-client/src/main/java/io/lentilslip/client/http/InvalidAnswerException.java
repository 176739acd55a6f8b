package io.lentilslip.client.http;

import java.io.IOException;

/**
 * Indicates an answer that is not valid, so that nothing that it says is believed.
 */
final class InvalidAnswerException extends IOException {

	InvalidAnswerException(String message) {
		super(message);
	}

}
